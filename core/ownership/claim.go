package ownership

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -text -yaml=false -output=claim_enumer.go

// Verdict answers a claim of one resource.
type Verdict uint8

const (
	// Refused means that the receiver cannot consent at present, for example
	// because it has ended.
	Refused Verdict = iota
	// Free means that the receiver consents and will not claim the resource
	// without the claimant's consent.
	Free
	// Draining means that the receiver held the resource, takes no new work for
	// it, and waits for requests in flight. Ask again.
	Draining
	// Outranked means that Holder comes before the claimant. If Holder is not the
	// receiver, the receiver consents for itself and Holder must be asked.
	Outranked
	// Held means that the receiver consents for itself, but that Holder may hold
	// the resource and must be asked as well.
	Held
)

// Claim asks for consent to own resources.
type Claim struct {
	From      member.Record
	Resources []fleet.Resource
	// Held lists resources that the sender holds, so that the receiver sends
	// later claimants to it. They are not asked for and get no answer.
	Held []fleet.Resource
	// Yielded lists resources that the sender gives up to the receiver, which
	// may claim them although the sender comes first in order.
	Yielded []fleet.Resource
}

// Answer is a verdict on one resource. A resource has several answers if several
// holders must be asked.
type Answer struct {
	Resource fleet.Resource
	Verdict  Verdict
	// Holder is set for Outranked and Held.
	Holder member.Record
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	From    fleet.Member
	Answers []Answer
}

// OutgoingClaim is a claim to send; it goes back to the state with the reply.
type OutgoingClaim struct {
	To      member.Peer
	SentAt  time.Time
	Message Claim
}

// ResourceSpec is a resource that some instance should hold.
type ResourceSpec struct {
	Resource fleet.Resource
	// Domain is the server's failure domain; empty if it belongs to none.
	Domain fleet.Domain
	// LargestDeadline is the longest time that work for the resource may run
	// past the end of its holder's lease.
	LargestDeadline time.Duration
}

// Effects are what to do after a command.
type Effects struct {
	Claims []OutgoingClaim
	// Acquired resources may be used from now on.
	Acquired []fleet.Resource
	// Drain lists resources that must get no new work. Drained is to be called
	// for each once its requests in flight have ended.
	Drain []fleet.Resource
	// Lost resources were dropped at once, because this instance was fenced.
	Lost []fleet.Resource
	// DiscoveredRecords records are to be given to member.State.Learn before the next
	// SetMembers.
	DiscoveredRecords []member.Record
}

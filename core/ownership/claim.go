package ownership

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -text -yaml=false -output=claim_enumer.go

// Verdict is the receiver's decision on a claim of one resource.
type Verdict uint8

const (
	// Refused means that the receiver cannot consent at present, for example
	// because it has ended.
	Refused Verdict = iota
	// Free means that the receiver consents and will not claim the resource
	// without the claimant's consent.
	Free
	// Draining means that the receiver held the resource, accepts no new work for
	// it, and waits for its requests in flight. The claimant must retry.
	Draining
	// Outranked means that Holder ranks before the claimant. If Holder is not the
	// receiver, the receiver consents, and Holder's consent is required as well.
	Outranked
	// Held means that the receiver consents, but that Holder may hold the resource
	// and its consent is required as well.
	Held
)

// Claim requests consent to own Resources. It also carries announcements of held
// and yielded resources.
type Claim struct {
	From      member.Record
	Resources []fleet.Resource
	// Held lists resources that the sender holds, so that the receiver can refer
	// later claimants to it. These resources get no answer.
	Held []fleet.Resource
	// Yielded lists resources that the sender yields to the receiver. The receiver
	// may claim them although the sender ranks before it.
	Yielded []fleet.Resource
}

// Answer is a verdict on one resource. A resource has several answers if the
// consent of several other members is required.
type Answer struct {
	Resource fleet.Resource
	Verdict  Verdict
	// Holder is the possible holder for Outranked and Held; zero otherwise.
	Holder member.Record
}

// ClaimReply is the reply to a Claim.
type ClaimReply struct {
	From    fleet.Member
	Answers []Answer
}

// OutgoingClaim is a claim to send. It is passed to HandleClaimReply with the
// reply.
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

// Effects are the messages to send and the changes to apply after a command.
type Effects struct {
	Claims []OutgoingClaim
	// Acquired lists resources that this instance holds from now on.
	Acquired []fleet.Resource
	// Drain lists resources that must get no new work. HandleDrained must be called
	// for each once its requests in flight have ended.
	Drain []fleet.Resource
	// Lost lists resources that this instance no longer holds, without draining,
	// because it was fenced.
	Lost []fleet.Resource
	// DiscoveredRecords must be passed to member.State.MergeRecords before the next
	// SetMembers.
	DiscoveredRecords []member.Record
}

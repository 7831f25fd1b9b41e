package member

import (
	"time"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Status,EventKind -transform=kebab -linecomment -text -yaml=false -output=record_enumer.go

// Status is the stage of life of one incarnation; it only moves forward.
type Status uint8

const (
	// Joining members have no lease yet and own nothing.
	Joining Status = iota
	// Active members may own resources.
	Active
	// Leaving members finish their work and take no more.
	Leaving
	// Left members have stopped as planned.
	Left
	// Fenced members have lost their lease for good.
	Fenced
)

// Ended reports whether the incarnation can never hold a lease again.
func (s Status) Ended() bool { return s >= Left }

// WitnessSetVersion numbers the lists of witnesses of one incarnation; zero means that
// none was chosen yet.
type WitnessSetVersion uint64

// Record is what the fleet knows about one incarnation. The slice of witnesses
// is shared and must not be modified.
type Record struct {
	Member            fleet.Member
	Domain            fleet.Domain
	PeerAddress       fleet.Address
	CallerAddress     fleet.Address
	Status            Status
	WitnessSetVersion WitnessSetVersion
	Witnesses         []fleet.Member
	// Successor answers for the at-most-once records of a member that left.
	Successor fleet.Member
}

// Config says which documents an instance has in force.
type Config struct {
	Version         fleet.Version
	Digest          fleet.Digest
	ListingRevision fleet.Revision
}

// Peer is the receiver of a message. Member is zero if only the address is
// known.
type Peer struct {
	Member  fleet.Member
	Address fleet.Address
}

// Gossip rides on heartbeats and their replies.
type Gossip struct {
	Records []Record
	// Digest covers all records of the sender that have not ended.
	Digest uint64
	Config Config
}

// Heartbeat renews the sender's lease with a witness.
type Heartbeat struct {
	From              fleet.Member
	WitnessSetVersion WitnessSetVersion
	Gossip            Gossip
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	From         fleet.Member
	Acknowledged bool
	// Fenced means that the receiver voted to fence the sender or holds a
	// certificate.
	Fenced bool
	Gossip Gossip
}

// SyncRequest carries all records of the sender, its own first.
type SyncRequest struct {
	From    fleet.Member
	Records []Record
}

// SyncReply carries all records of the receiver, its own first.
type SyncReply struct {
	Records []Record
}

// FenceRequest asks a witness to vote that the target's lease has ended.
type FenceRequest struct {
	From              fleet.Member
	Target            fleet.Member
	WitnessSetVersion WitnessSetVersion
}

// FenceReply answers a FenceRequest.
type FenceReply struct {
	From    fleet.Member
	Granted bool
	// Record is the receiver's newest record of the target; its Member is zero
	// if the receiver has none.
	Record Record
}

// OutgoingHeartbeat is a heartbeat to send. It goes back to the state with the
// reply, because the lease counts from SentAt.
type OutgoingHeartbeat struct {
	To      Peer
	SentAt  time.Time
	Message Heartbeat
}

// OutgoingSync is a Sync to send.
type OutgoingSync struct {
	To      Peer
	Message SyncRequest
}

// OutgoingFenceRequest is a fence request to send.
type OutgoingFenceRequest struct {
	To      Peer
	Message FenceRequest
}

// EventKind says what happened.
type EventKind uint8

const (
	// EventJoined means that a member became active.
	EventJoined EventKind = iota // joined
	// EventSuspected means that a member that this instance exchanges heartbeats
	// with has gone silent.
	EventSuspected // suspected
	// EventRecovered means that a suspected member was heard again.
	EventRecovered // recovered
	// EventFenced means that a member lost its lease for good.
	EventFenced // fenced
	// EventLeft means that a member left as planned.
	EventLeft // left
	// EventConfigNewer means that a member has a newer document or listing.
	EventConfigNewer // config-newer
	// EventConfigConflict means that a member has another digest of the same
	// version.
	EventConfigConflict // config-conflict
)

// Event tells the embedding program of a change.
type Event struct {
	Kind   EventKind
	Member fleet.Member
	// PeerAddress is where the member can be asked; empty if unknown.
	PeerAddress fleet.Address
	// Config is set for ConfigNewer and ConfigConflict.
	Config Config
}

// Effects are the messages to send and the events to deliver after a command.
type Effects struct {
	Heartbeats    []OutgoingHeartbeat
	SyncRequests  []OutgoingSync
	FenceRequests []OutgoingFenceRequest
	Events        []Event
}

package member

import (
	"time"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Status,EventKind -transform=kebab -linecomment -text -yaml=false -output=record_enumer.go

// Status is the lifecycle stage of one incarnation; it only advances, in the
// order of the constants.
type Status uint8

const (
	// Joining members have no lease yet and own nothing.
	Joining Status = iota
	// Active members may own resources.
	Active
	// Leaving members finish their work and accept no new work.
	Leaving
	// Left members have stopped as planned.
	Left
	// Fenced members have lost their lease permanently.
	Fenced
)

// Ended reports whether the incarnation can never hold a lease again.
func (s Status) Ended() bool { return s >= Left }

// WitnessSetVersion counts the changes of the witness set of one incarnation.
// Zero means that no witnesses have been chosen.
type WitnessSetVersion uint64

// Record is the replicated state of one incarnation. The slice of witnesses is
// shared and must not be modified.
type Record struct {
	Member            fleet.Member
	Domain            fleet.Domain
	PeerAddress       fleet.Address
	CallerAddress     fleet.Address
	Status            Status
	WitnessSetVersion WitnessSetVersion
	Witnesses         []fleet.Member
	// Successor is the member that took over the at-most-once records of a member
	// that left, or the next incarnation of a fenced member; zero if there is none.
	Successor fleet.Member
}

// Config identifies the configuration document and the listing that an instance
// applies.
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

// Gossip is the part of heartbeats and their replies that replicates records.
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

// HeartbeatReply is the reply to a Heartbeat.
type HeartbeatReply struct {
	From         fleet.Member
	Acknowledged bool
	// Fenced means that the receiver of the heartbeat voted to fence its sender or
	// has a fence certificate for it.
	Fenced bool
	Gossip Gossip
}

// SyncRequest carries all records of the sender, its own first.
type SyncRequest struct {
	From    fleet.Member
	Records []Record
}

// SyncReply carries all records of the request's receiver, its own first.
type SyncReply struct {
	Records []Record
}

// FenceRequest requests a witness's vote to fence the target. The vote asserts
// that the target's lease has ended.
type FenceRequest struct {
	From              fleet.Member
	Target            fleet.Member
	WitnessSetVersion WitnessSetVersion
}

// FenceReply is the reply to a FenceRequest.
type FenceReply struct {
	From    fleet.Member
	Granted bool
	// Record is the newest record of the target that the request's receiver has;
	// its Member is zero if the receiver has none.
	Record Record
}

// OutgoingHeartbeat is a heartbeat to send. It is passed to HandleHeartbeatReply
// with the reply, because the lease starts at SentAt.
type OutgoingHeartbeat struct {
	To      Peer
	SentAt  time.Time
	Message Heartbeat
}

// OutgoingSync is a sync request to send.
type OutgoingSync struct {
	To      Peer
	Message SyncRequest
}

// OutgoingFenceRequest is a fence request to send.
type OutgoingFenceRequest struct {
	To      Peer
	Message FenceRequest
}

// EventKind classifies an Event.
type EventKind uint8

const (
	// EventJoined means that a member became active.
	EventJoined EventKind = iota // joined
	// EventSuspected means that a member stopped sending or acknowledging
	// heartbeats.
	EventSuspected // suspected
	// EventRecovered means that a suspected member sends or acknowledges heartbeats
	// again.
	EventRecovered // recovered
	// EventFenced means that a member lost its lease permanently.
	EventFenced // fenced
	// EventLeft means that a member left as planned.
	EventLeft // left
	// EventConfigNewer means that a member has a newer configuration document or
	// listing.
	EventConfigNewer // config-newer
	// EventConfigConflict means that a member has a configuration document of the
	// same version with another digest.
	EventConfigConflict // config-conflict
)

// Event reports a change to the embedding program.
type Event struct {
	Kind   EventKind
	Member fleet.Member
	// PeerAddress is the member's address for requests of peers; empty if unknown.
	PeerAddress fleet.Address
	// Config is set for EventConfigNewer and EventConfigConflict.
	Config Config
}

// Effects are the messages to send and the events to deliver after a command.
type Effects struct {
	Heartbeats    []OutgoingHeartbeat
	SyncRequests  []OutgoingSync
	FenceRequests []OutgoingFenceRequest
	Events        []Event
}

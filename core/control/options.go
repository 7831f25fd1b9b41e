package control

import (
	"context"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/listing"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

// Clock gives the time and wakes the control goroutine.
type Clock interface {
	fleet.Clock
	NewTicker(every time.Duration) (ticks <-chan time.Time, stop func())
}

// Peers carries messages to other instances. Each method blocks until the
// reply or the end of the context.
type Peers interface {
	Heartbeat(ctx context.Context, out member.OutgoingHeartbeat, age PlatformAge) (member.HeartbeatReply, PlatformAge, error)
	Sync(ctx context.Context, out member.OutgoingSync) (member.SyncReply, error)
	Fence(ctx context.Context, out member.OutgoingFenceRequest) (member.FenceReply, error)
	Claim(ctx context.Context, out ownership.OutgoingClaim) (ownership.ClaimReply, error)
	Report(ctx context.Context, to member.Peer, service fleet.ServiceName, report floor.Report) (floor.Reply, error)
	Probe(ctx context.Context, to member.Peer, server fleet.ListedServer) (bool, error)
	Fetch(ctx context.Context, to member.Peer, known KnownDocuments) (Documents, error)
}

// Prober reaches servers from this instance.
type Prober interface {
	// Reachable reports whether the server accepts a connection.
	Reachable(ctx context.Context, server fleet.ListedServer) bool
	// CloseConnections closes the connections to a server that is no longer owned.
	CloseConnections(server fleet.ServerID)
	// CloseIdleConnections closes the connections that carry no request.
	CloseIdleConnections()
}

// PlatformWatcher switches the watch of the platform on or off.
type PlatformWatcher interface {
	SetEnabled(on bool)
}

// Events receives what the embedding program may want to log or to act on.
// Its methods are called by the control goroutine and must not block.
type Events interface {
	MemberEvent(event member.Event)
	Rejoined(self fleet.Member)
	ConditionChanged(change ConditionChange)
	ConfigOffered(decision config.Decision, version fleet.Version)
	OwnershipChanged(acquired, stopped, lost []fleet.Resource)
}

// PlatformAge is how long ago any instance last read the platform, as far as the
// sender of a heartbeat or of its reply knows.
type PlatformAge time.Duration

// KnownDocuments says what a receiver of documents already has.
type KnownDocuments struct {
	ConfigVersion   fleet.Version
	ListingRevision fleet.Revision
}

// Documents are the configuration and the platform's list as one instance has
// them; a nil pointer means that the receiver already has it. The list comes
// whole or as the changes since the receiver's revision.
type Documents struct {
	Config       *config.Document
	Listing      *fleet.Listing
	ListingDelta *listing.Delta
}

// Options set up a Loop.
type Options struct {
	Member          member.Options
	Clock           Clock
	Peers           Peers
	Prober          Prober
	PlatformWatcher PlatformWatcher
	Events          Events
	Random          member.Random
	// QueueCapacity is the capacity of the command channel.
	QueueCapacity int
}

const (
	// tickEvery is short against the fastest detection (200 ms) and long
	// against the cost of a tick.
	tickEvery = 50 * time.Millisecond
	// callTimeout bounds a call to a peer. It is below the lease time, so that
	// a lost peer does not hold goroutines for long.
	callTimeout = time.Second
	// fetchTimeout is longer, because documents may be large.
	fetchTimeout = 3 * time.Second
	// reportEvery is how often owners report to stewards.
	reportEvery = time.Second
	// defaultQueue holds the commands of several ticks at 400 instances.
	defaultQueue = 1024
	// platformSilence is how long the fleet may hear nothing from the platform
	// before further members of a failure domain try to read it.
	platformSilence = 3 * time.Second
	// watchHold is how long a further member goes on after it could read the
	// platform. It bounds the number of watchers after an outage.
	watchHold = 30 * time.Second
	// hopAge is added to the age of the platform's last read for the time that a
	// heartbeat was on its way. Without it, instances that tell each other the
	// same age would make it younger at each exchange.
	hopAge = 100 * time.Millisecond
	// newsLife bounds how long an instance waits for a configuration that a
	// peer announced; if that peer was lost, nobody may have it any more.
	newsLife = 5 * time.Second
)

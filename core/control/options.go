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

// Clock provides the time and the ticks of the control goroutine.
type Clock interface {
	fleet.Clock
	NewTicker(interval time.Duration) (ticks <-chan time.Time, stop func())
}

// Peers sends messages to other instances. Each method blocks until the reply
// arrives or the context ends.
type Peers interface {
	Heartbeat(ctx context.Context, out member.OutgoingHeartbeat, age PlatformAge) (member.HeartbeatReply, PlatformAge, error)
	Sync(ctx context.Context, out member.OutgoingSync) (member.SyncReply, error)
	Fence(ctx context.Context, out member.OutgoingFenceRequest) (member.FenceReply, error)
	Claim(ctx context.Context, out ownership.OutgoingClaim) (ownership.ClaimReply, error)
	Report(ctx context.Context, to member.Peer, service fleet.ServiceName, report floor.Report) (floor.Reply, error)
	Probe(ctx context.Context, to member.Peer, server fleet.ListedServer) (bool, error)
	Fetch(ctx context.Context, to member.Peer, known KnownDocuments) (Documents, error)
}

// Prober manages the connections of this instance to servers.
type Prober interface {
	// Reachable reports whether the server accepts a connection from this
	// instance.
	Reachable(ctx context.Context, server fleet.ListedServer) bool
	// CloseConnections closes the connections to a server that is no longer owned.
	CloseConnections(server fleet.ServerID)
	// CloseIdleConnections closes the connections without a request in flight.
	CloseIdleConnections()
}

// PlatformWatcher reads the platform and waits for changes while it is enabled.
type PlatformWatcher interface {
	SetEnabled(on bool)
}

// Events receives changes of the control state, for logs and for reactions outside
// of this package. The control goroutine calls its methods, which must not block.
type Events interface {
	MemberEvent(event member.Event)
	Rejoined(self fleet.Member)
	ConditionChanged(change ConditionChange)
	ConfigOffered(decision config.Decision, version fleet.Version)
	OwnershipChanged(acquired, stopped, lost []fleet.Resource)
}

// PlatformAge is the time since any instance last read the platform, as far as
// the sender of a heartbeat or reply knows.
type PlatformAge time.Duration

// KnownDocuments holds the versions of the documents that the requesting instance
// already has.
type KnownDocuments struct {
	ConfigVersion   fleet.Version
	ListingRevision fleet.Revision
}

// Documents holds the configuration and the platform's listing of one instance, as far
// as they are newer than the documents of the requesting instance; other fields are
// nil. The listing is complete (Listing) or a delta from the requesting instance's
// revision (ListingDelta).
type Documents struct {
	Config       *config.Document
	Listing      *fleet.Listing
	ListingDelta *listing.Delta
}

// Options configures a Loop.
type Options struct {
	Member          member.Options
	Clock           Clock
	Peers           Peers
	Prober          Prober
	PlatformWatcher PlatformWatcher
	Events          Events
	Random          member.Random
	// QueueCapacity is the capacity of the command channel; the default is 1024.
	QueueCapacity int
}

const (
	// tickInterval is short compared to the fastest failure detection (200 ms)
	// and long compared to the cost of a tick.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds a call to a peer. It is shorter than the lease, so that
	// calls to an unreachable peer do not occupy goroutines for long.
	callTimeout = time.Second
	// fetchTimeout is longer than callTimeout, because documents may be large.
	fetchTimeout = 3 * time.Second
	// reportInterval is the time between two reports of an owner to a steward,
	// unless a report is due earlier.
	reportInterval = time.Second
	// defaultQueueCapacity suffices for the commands of several ticks in a fleet
	// of 400 instances.
	defaultQueueCapacity = 1024
	// platformSilenceTimeout is the time without a successful read of the
	// platform after which two further members of each failure domain watch it.
	platformSilenceTimeout = 3 * time.Second
	// extraWatchTime is how long a member that reads the platform keeps watching
	// after its rank no longer requires it. It bounds the number of watchers after
	// an outage.
	extraWatchTime = 30 * time.Second
	// maxHeartbeatDelay is added to the platform age in a received heartbeat for
	// the transmission time. Otherwise instances that exchange the same age would
	// decrease it at each exchange.
	maxHeartbeatDelay = 100 * time.Millisecond
	// announcementTTL bounds how long an instance waits for a configuration that
	// a peer announced. If that peer was lost, no other instance may have the
	// configuration.
	announcementTTL = 5 * time.Second
)

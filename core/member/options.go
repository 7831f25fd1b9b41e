package member

import (
	"time"

	"galenaridge/core/fleet"
)

const (
	defaultHeartbeatInterval = 400 * time.Millisecond
	defaultLeaseDuration     = 2 * time.Second
	// voteMargin covers the difference in rate of two monotonic clocks over the
	// duration of a lease.
	voteMargin = 50 * time.Millisecond
	// fenceStagger is the delay between the fence rounds of successive witnesses.
	// It is longer than a round takes, so that normally only one witness starts a
	// round.
	fenceStagger = 200 * time.Millisecond
	// fenceRoundInterval is the interval between fence rounds of one witness for
	// one target.
	fenceRoundInterval = time.Second
	// pauseThreshold is the gap between commands above which the process counts as
	// paused. It is ten ticks long, so that a late tick does not count.
	pauseThreshold = 500 * time.Millisecond
	// suspectAfter is the time without heartbeats or acknowledgements after which a
	// member is suspected.
	suspectAfter = time.Second
	// unresponsiveAfter is the time without an acknowledgement after which a
	// witness is replaced: three heartbeats and a round trip.
	unresponsiveAfter = 1500 * time.Millisecond
	// avoidDuration is how long an unresponsive member is not chosen as a witness.
	avoidDuration = 10 * time.Second
	// maxAckAge is the maximum age of the acknowledgements of a witness set that
	// may be proposed.
	maxAckAge = time.Second
	// gossipInterval is the interval of heartbeats to a random member that is not
	// a witness. Without them, witness sets that became disjoint during a
	// partition would stay disjoint, and gossip would not spread between them.
	gossipInterval = 2 * time.Second
	// digestMismatchDelay is how long digests must differ before a Sync; gossip in
	// flight makes them differ for a shorter time.
	digestMismatchDelay = time.Second
	minSyncInterval     = 2 * time.Second
	// endedRecordTTL is how long records of ended incarnations are kept.
	endedRecordTTL = 10 * time.Minute
	// endedGossipDuration is how long an instance gossips the record of an ended
	// incarnation. It is much shorter than endedRecordTTL, so that an instance that
	// has dropped a record does not receive it again.
	endedGossipDuration = time.Minute
	// maxRenewableLapse is the time since the end of a lease after which the lease
	// is not renewed.
	maxRenewableLapse = endedRecordTTL / 2
	// droppedIDTTL is how long an instance keeps the ids that the listing dropped.
	// After a partition, gossip may bring back records of members that ended long
	// ago.
	droppedIDTTL = 24 * time.Hour
	// unlistedDelay is how long after a member was first seen a listing must be
	// read for the member to count as dropped, if no listing ever contained it.
	unlistedDelay = 30 * time.Second
	// uncertifiedFencingDelay is how long the listing must lack a member, or a newer
	// incarnation must be active, before the member may be fenced without a
	// certificate.
	uncertifiedFencingDelay = 10 * time.Second
	// joinDiscoveryInterval and discoveryInterval are the intervals of Syncs to
	// addresses of unknown members, before and after the bootstrap.
	joinDiscoveryInterval = 200 * time.Millisecond
	discoveryInterval     = 2 * time.Second
	// joinDiscoveryFanout is the number of addresses that receive a Sync at the
	// same time before the bootstrap.
	joinDiscoveryFanout = 3
	// contactRetryInterval is the minimum interval of Syncs to one address.
	contactRetryInterval = time.Second
	// ownListingTimeout is how long a first start waits for a listing that
	// contains this instance.
	ownListingTimeout = 10 * time.Second
	// silentInstanceTimeout is how long a first start waits for listed instances
	// that do not reply. The platform drops failed instances sooner; an instance
	// that is only unreachable may be active, since it may have started from an
	// older listing.
	silentInstanceTimeout = time.Minute
	// witnessReviewInterval is the interval at which a working witness set is
	// reviewed. A review takes time in proportion to the size of the fleet.
	witnessReviewInterval = 200 * time.Millisecond
	// maxGossipRecords bounds the records on one heartbeat or reply.
	maxGossipRecords = 8
	// maxFormerIncarnations bounds the list of former incarnations.
	maxFormerIncarnations = 16
	// maxWitnesses is the size of a full witness set. At most maxLocalWitnesses of
	// them are in the instance's own failure domain if others have enough members.
	maxWitnesses      = 5
	maxLocalWitnesses = 3
	// initialFencingObservers is the number of members that at first may fence one
	// target without a certificate; the others receive the result by gossip.
	initialFencingObservers = 2
)

// Random is a source of random numbers; *math/rand/v2.Rand implements it.
type Random interface {
	Uint64() uint64
}

// Options configures a State. Zero durations select the defaults.
type Options struct {
	// ID, Domain, PeerAddress and CallerAddress describe this instance.
	ID            fleet.InstanceID
	Domain        fleet.Domain
	PeerAddress   fleet.Address
	CallerAddress fleet.Address
	// Seeds are peer addresses from the settings.
	Seeds []fleet.Address
	// Random generates incarnations and chooses gossip targets.
	Random Random
	// HeartbeatInterval is the interval of heartbeats to each witness.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a lease is valid after the send time of an
	// acknowledged heartbeat. It must be the same on all instances.
	LeaseDuration time.Duration
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = defaultLeaseDuration
	}
	return o
}

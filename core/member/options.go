package member

import (
	"time"

	"galenaridge/core/fleet"
)

const (
	defaultHeartbeatEvery = 400 * time.Millisecond
	defaultLeaseTime      = 2 * time.Second
	// voteMargin covers different rates of two monotonic clocks over one lease.
	voteMargin = 50 * time.Millisecond
	// fenceStagger is the delay between witnesses that start a fence round; it
	// is longer than a round takes, so that usually one of them starts.
	fenceStagger = 200 * time.Millisecond
	// fenceRetry is the interval of rounds of one witness for one target.
	fenceRetry = time.Second
	// pauseLimit is a gap between commands that counts as a pause of this
	// process. It is ten ticks long, so that a late tick is not taken for one.
	pauseLimit = 500 * time.Millisecond
	// silentAfter is the silence after which a member is suspected.
	silentAfter = time.Second
	// unresponsiveAfter is the time without an answer after which a witness is
	// replaced: three heartbeats and a round trip.
	unresponsiveAfter = 1500 * time.Millisecond
	// avoidFor keeps an unresponsive member out of new panels.
	avoidFor = 10 * time.Second
	// freshAcks is the age up to which acknowledgements show that a panel works.
	freshAcks = time.Second
	// gossipEvery is the interval of heartbeats to a random member outside of
	// the panel. Without them, panels that became disjoint during a partition
	// would stay so, and news would not cross.
	gossipEvery = 2 * time.Second
	// mismatchFor is how long digests must differ before a Sync; news in flight
	// makes them differ for less.
	mismatchFor = time.Second
	syncEvery   = 2 * time.Second
	// keepEnded is how long records of ended incarnations are kept.
	keepEnded = 10 * time.Minute
	// shareEnded is how long an instance passes on that an incarnation ended.
	// It is much shorter than keepEnded, so that an instance that has dropped
	// a record is not given it again.
	shareEnded = time.Minute
	// renewLimit is the age of a lapsed lease that is not renewed any more.
	renewLimit = keepEnded / 2
	// keepDropped is how long an instance remembers whom the listing dropped. A
	// partition may bring back records of members that ended long ago.
	keepDropped = 24 * time.Hour
	// unlistedAfter is how much later than a member's first sign a listing must
	// be to count as having dropped it although it never named it.
	unlistedAfter = 30 * time.Second
	// dropAfter is how long the listing must lack a member, or a newer
	// incarnation must be active, before the last resort applies.
	dropAfter = 10 * time.Second
	// joinContactEvery and contactEvery are the intervals of Syncs to contacts
	// while joining and later.
	joinContactEvery = 200 * time.Millisecond
	contactEvery     = 2 * time.Second
	// joinContacts is the number of contacts asked at the same time.
	joinContacts = 3
	// contactRetry is the wait before one contact is asked again.
	contactRetry = time.Second
	// listingPatience is how long a first start waits for a listing that names
	// this instance.
	listingPatience = 10 * time.Second
	// silentPatience is how long a first start waits for listed instances that
	// do not answer. The platform drops dead ones sooner; one that is only cut
	// off may be active, since it may have started from an older listing.
	silentPatience = time.Minute
	// panelEvery is the interval at which a working panel is reviewed, which
	// takes time in proportion to the fleet.
	panelEvery = 200 * time.Millisecond
	// maxNews is the number of records on one message.
	maxNews = 8
	// maxFormer bounds the list of former incarnations.
	maxFormer = 16
	// panelSize and localWitnesses give the size of a panel and the most
	// witnesses of the instance's own failure domain in it.
	panelSize      = 5
	localWitnesses = 3
	// resortObservers is the number of members that apply the last resort to
	// one target; the others learn the result by gossip.
	resortObservers = 2
)

// Random gives random numbers; *math/rand/v2.Rand is one.
type Random interface {
	Uint64() uint64
}

// Options set up a State. Zero durations take the defaults.
type Options struct {
	// ID, Domain, Peer and Caller describe this instance.
	ID            fleet.InstanceID
	Domain        fleet.Domain
	PeerAddress   fleet.Address
	CallerAddress fleet.Address
	// Seeds are peer addresses from the settings.
	Seeds []fleet.Address
	// Random draws incarnations and gossip targets.
	Random Random
	// HeartbeatInterval is the interval of heartbeats to each witness.
	HeartbeatInterval time.Duration
	// LeaseDuration is the life of a lease from the sending of a heartbeat. It must
	// be the same on all instances.
	LeaseDuration time.Duration
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatEvery
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = defaultLeaseTime
	}
	return o
}

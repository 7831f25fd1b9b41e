package workset

import (
	"time"

	"galenaridge/core/fleet"
)

// Heartbeat is the message in which an instance reports its state to its peers.
type Heartbeat struct {
	Member        fleet.Member
	Domain        fleet.Domain
	PeerAddress   fleet.Address
	CallerAddress fleet.Address
	// Leaving is set during a planned stop.
	Leaving bool
	// Ready is set if the instance has a configuration and a server listing.
	Ready bool
	// StoreUnreachable is set if the instance reads the store and its calls fail.
	StoreUnreachable bool
	// OutageAge is the time since the sender began its latest call to the store that got no
	// response, while it calls the store often and its calls fail; zero otherwise.
	OutageAge time.Duration
	// Slow is set while the timers of the machine fire late.
	Slow bool
	// Active is set while the sender takes itself for active.
	Active bool
	// Interval is the time until the next heartbeat to the same receiver.
	Interval time.Duration
	// Uptime is the age of the process.
	Uptime time.Duration
	// Cores is the capacity of the machine in cores. It is less than the number of
	// cores if the network link is the bottleneck.
	Cores float64
	// RequestRate is the number of requests that the instance starts per second.
	RequestRate float64
	// Version is the version of the active configuration.
	Version fleet.Version
	// Position is the position of the copy of the store. CopyAge is the time since the copy
	// was last confirmed to be current.
	Position fleet.Position
	CopyAge  time.Duration
	// DomainSize is the number of instances that the sender knows in its failure domain, with
	// itself, and DomainHeard the number of those that it heard from lately. Both are zero
	// from earlier releases.
	DomainSize  int
	DomainHeard int
	// ConfigAge is the time since the configuration was last confirmed to be current. Instances
	// of earlier releases use it.
	ConfigAge time.Duration
	// ReadsStore is set if the sender itself reads the store, and ReadAge is then the time since
	// its last read. Only these confirm the copies of others: ages that instances take over from
	// each other lose the time that each message was under way, and grow more slowly than time.
	ReadsStore bool
	ReadAge    time.Duration
	// Contacts are peer addresses of other instances, for a receiver that requested
	// them.
	Contacts []fleet.Address
	// RequestsContacts is set if the receiver should reply with contacts.
	RequestsContacts bool
}

// peer holds the last heartbeat of another instance and when it was received.
type peer struct {
	heartbeat  Heartbeat
	lastSeenAt time.Time
	// reportedAt is when the last report of the instance was received, zero if it sent none.
	reportedAt time.Time
}

const (
	// inUseInterval is the interval of heartbeats from active and standby instances to
	// all peers of their failure domain, idleInterval the interval from idle instances.
	inUseInterval = 200 * time.Millisecond
	idleInterval  = time.Second
	// inUseRemoteInterval is the interval of heartbeats from active and standby instances
	// to active and standby instances of other failure domains, idleRemoteInterval the
	// interval from idle instances to them. toIdleRemoteInterval is the interval from
	// active and standby instances to idle instances of other failure domains. The
	// directories of these idle instances list the senders if their own failure domain
	// is lost.
	inUseRemoteInterval  = 400 * time.Millisecond
	idleRemoteInterval   = 15 * time.Second
	toIdleRemoteInterval = 2 * time.Second
	// maxRemoteSilence is how long an instance of another failure domain remains a
	// candidate for the working set without a heartbeat. Instances in use send more
	// often, and idle instances of other failure domains are not needed there.
	maxRemoteSilence = 2*toIdleRemoteInterval + 500*time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which an instance is no longer live. The network drops single datagrams.
	maxMissedHeartbeats = 4
	// maxMissedRareHeartbeats replaces maxMissedHeartbeats for intervals longer than
	// idleInterval, where four intervals would take too long.
	maxMissedRareHeartbeats = 2
	// delayMargin allows for delays of the network and of timers.
	delayMargin = 100 * time.Millisecond
	// contactTimeout is how long ago an instance of the own failure domain may have been
	// heard to be in contact. Idle instances send a heartbeat each second.
	contactTimeout = 1300 * time.Millisecond
	// contactMargin is added to two intervals of an instance of another failure domain, for
	// the same decision.
	contactMargin = 500 * time.Millisecond
	// reportMemory is how long an instance that sent reports is expected to send more.
	reportMemory = 10 * time.Second
	// unknownAge is reported as the age of a copy while there is none.
	unknownAge = time.Hour
	// forgetAfter is how long heartbeats are still sent to a silent instance, so that
	// it finds its peers when it recovers.
	forgetAfter = 90 * time.Second
	// settleTime is how long a new instance collects heartbeats before it takes a role.
	settleTime = 150 * time.Millisecond
	// recentlyStartedTime is how long an instance ranks behind the others after its
	// start, since it may be in a crash loop.
	recentlyStartedTime = 4 * time.Second
	// announceTime is how long a new instance requests contacts, and announces
	// itself to contacts from which it has received no heartbeat. It begins anew at the
	// first contact, which a lost seed may delay. One request is not
	// enough, since after a restart of the whole fleet the first replies list few
	// contacts.
	announceTime = 3 * time.Second
	// unknownFleetInterval is the interval of announcements while no other instance was heard.
	// Callers are refused until a seed that starts a little later answers.
	unknownFleetInterval = 100 * time.Millisecond
	// maxAnnouncements bounds the announcements that are sent at a time. After a restart
	// of 300 instances, announcements to all would be 300 x 300 datagrams every 0.2 s.
	maxAnnouncements = 8
	// ratePerCore is the number of requests per second that a core serves with
	// headroom for bursts; a request takes at most about a millisecond.
	ratePerCore = 500
	// maxCopyLag is how much older than the freshest copy of the store a copy may be
	// before its instance ranks behind the others. The limit is relative, since all
	// copies age alike while the store is down.
	maxCopyLag = 2500 * time.Millisecond
	// maxReadAge is how old the last read of an instance may be for others to rely on it to
	// read the store.
	maxReadAge = 1250 * time.Millisecond
	// requestMegabits is the traffic of a request over the link of its instance, in
	// megabits: about 8 KB, with both directions to the caller and to the server.
	requestMegabits = 0.064
	// keepActiveShare is the share of the capacity of the active instances before it that the
	// load must exceed for an instance to stay active. In 2 s the measured load of 160 requests
	// a second varies by 4% (one standard deviation).
	keepActiveShare = 0.85
	// maxContacts bounds the contacts of one heartbeat, which has to fit into one
	// datagram.
	maxContacts = 48
)

// EffectiveCores returns the capacity of a machine in cores: its number of cores, or
// less if its link, in megabits per second, is the bottleneck. A linkMbps of zero or
// less means that the link is not a limit.
func EffectiveCores(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/requestMegabits/ratePerCore)
}

// live reports whether the last heartbeat of the peer is recent enough.
func (p *peer) live(now time.Time) bool {
	maxMissed := time.Duration(maxMissedHeartbeats)
	if p.heartbeat.Interval > idleInterval {
		maxMissed = maxMissedRareHeartbeats
	}
	return now.Sub(p.lastSeenAt) <= maxMissed*p.heartbeat.Interval+delayMargin
}

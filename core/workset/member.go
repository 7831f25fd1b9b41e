package workset

import (
	"time"

	"galenaridge/core/fleet"
)

// Heartbeat is what an instance tells the others about itself.
type Heartbeat struct {
	Member        fleet.Member
	Domain        fleet.Domain
	PeerAddress   fleet.Address
	CallerAddress fleet.Address
	// Leaving instances make a planned stop.
	Leaving bool
	// Ready instances have a configuration and servers.
	Ready bool
	// StoreUnreachable instances get no answer from the store.
	StoreUnreachable bool
	// Slow instances run on a machine that lags.
	Slow bool
	// Interval is the time to the next beat.
	Interval time.Duration
	// Uptime is the age of the process.
	Uptime time.Duration
	// Cores is what the machine can carry, in cores: less than its processor time
	// if its link binds.
	Cores float64
	// RequestRate is the number of requests a second.
	RequestRate float64
	// Version is the configuration in force.
	Version fleet.Version
	// Revision is that of the copy of the store, Age how long ago the copy was
	// known to be current.
	Revision fleet.Revision
	CopyAge  time.Duration
	// Contacts are other instances, for a receiver that is new.
	Contacts []fleet.Address
	// RequestsContacts requests contacts.
	RequestsContacts bool
}

// peer is what is known of another instance.
type peer struct {
	beat    Heartbeat
	heardAt time.Time
}

const (
	// fastEvery is the interval of beats of active and standby instances,
	// slowEvery that of idle ones.
	fastEvery = 200 * time.Millisecond
	slowEvery = time.Second
	// fastFarEvery and slowFarEvery are those to active and standby instances of
	// other failure domains, restFarEvery that of active and standby ones to idle
	// ones there, whose directories name them if their own failure domain is lost.
	fastFarEvery = 400 * time.Millisecond
	slowFarEvery = 15 * time.Second
	restFarEvery = 2 * time.Second
	// farFresh is how long an instance of another failure domain is taken to be
	// active without a beat. Those in use send more often, and idle ones need not
	// be named from elsewhere.
	farFresh = 2*restFarEvery + 500*time.Millisecond
	// silentBeats is the number of missing beats after which an instance counts
	// as gone; single datagrams are lost now and then.
	silentBeats = 4
	// silentRareBeats is that for intervals beyond slowEvery, where each beat is a
	// long wait.
	silentRareBeats = 2
	// silentSlack covers the delay of the network and of timers.
	silentSlack = 100 * time.Millisecond
	// forgetAfter is how long a silent instance is still sent beats, so that it
	// finds the others when it returns.
	forgetAfter = 90 * time.Second
	// settleTime is how long a new instance listens before it takes a place.
	settleTime = 150 * time.Millisecond
	// youngTime is how long a restarted instance ranks behind the others, since
	// it may be in a loop of crashes.
	youngTime = 4 * time.Second
	// greetTime is how long a new instance asks for contacts and greets those from
	// which it has not heard: after a restart of all, the first answers name few.
	greetTime = 3 * time.Second
	// maxGreeted is the number of instances that are greeted at a time. Greeting
	// all would be 300 x 300 datagrams each 0.2 s after a restart of 300.
	maxGreeted = 8
	// ratePerCore is the number of requests a second that a core carries with
	// room for bursts; a request costs about a millisecond at the most.
	ratePerCore = 500
	// staleLead is how much older than the best copy one may be before its
	// instance ranks behind the others. While the store is down all copies age
	// alike.
	staleLead = 2500 * time.Millisecond
	// maxReaders is the number of ranks among which the reader of the store is
	// looked for. While the store is down, no more instances call it.
	maxReaders = 5
	// requestMegabits is what a request moves over the link of its instance: about
	// 8 KB, to and from both sides.
	requestMegabits = 0.064
	// maxContacts bounds the contacts of one beat, which is one datagram.
	maxContacts = 48
)

// EffectiveCores returns what a machine can carry, in cores: its own, or fewer if its
// link in megabits a second binds. A machine that states no link is bound by its
// cores.
func EffectiveCores(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/requestMegabits/ratePerCore)
}

// live reports whether the peer was heard lately.
func (p *peer) live(now time.Time) bool {
	missing := time.Duration(silentBeats)
	if p.beat.Interval > slowEvery {
		missing = silentRareBeats
	}
	return now.Sub(p.heardAt) <= missing*p.beat.Interval+silentSlack
}

package quota

import (
	"math"
	"time"
)

const (
	// windowBuckets is the number of buckets of a window.
	windowBuckets = 50
	// evenPart is the part of what is left that all instances get alike; the rest is
	// divided by use. A customer may move to another instance at any time, and most stay.
	evenPart = 0.6
	// inactivePart is the part of what is left that all instances get together that admit
	// requests although they are not active.
	inactivePart = 0.15
	// growthPart is the part of what is left that is divided among the shares of instances
	// that lose contact. The rest stays with the instances in contact, to which the callers
	// of a failed instance move.
	growthPart = 0.5
	// unknownPart bounds what all instances together may use before the others know it, as a
	// part of the limit. A customer that sends 4 times its rate, with a limit of 6 times its
	// rate, uses this in 0.6 s. Other instances reserve as much for one that loses contact.
	unknownPart = 0.4
	// maxFleetSize is the number of instances that a fleet of unknown size is taken to have, that
	// of the largest one in docs/CAPACITY.md. If all of them know nobody, they admit isolatedPart
	// of the overage together.
	maxFleetSize = 400
	// isolatedPart is the part of the overage that all isolated instances use together.
	isolatedPart = 0.1
	// reportPart is the part of what an instance may use before the others know it, from
	// which on its use is reported at the next tick. Less is reported once in a cycle.
	reportPart = 0.3
	// nearLimit is the part of the limit from which on each change is reported at the
	// next tick.
	nearLimit = 0.6
	// marginPart is the part of the limit that is left for reports that are lost or late.
	marginPart = 0.08
	// silenceTimeout is how long an instance may be without a report of another one, or
	// without an acknowledgement of it. Reports come every 0.1 s; 30% of them may be lost
	// and the others 1 s late. It is longer than an instance needs to learn that it is cut
	// off from most others: 1.3 s without heartbeats, 0.4 s until the counts of its peers
	// arrive, and a tick. Those that it takes for silent before that no longer have to
	// acknowledge its use, and it would admit another part that nobody reserves.
	silenceTimeout = 2 * time.Second
	// staleAfter is how old the view of the control goroutine may be. It is renewed every
	// 0.1 s.
	staleAfter = time.Second
	// maxGap is how long an instance may be without contact and still trust what it knew
	// before.
	maxGap = 2 * time.Second
	// cycleTicks is the number of reports after which all use is reported that was not
	// reported before. spreadBuckets is the number of buckets over which the use in one
	// report is spread at most: reports of customers near their limit are as frequent.
	cycleTicks    = 20
	spreadBuckets = 4
	// relayTicks is the number of reports between two that contain the reserve of a customer,
	// and relayTime how long a reserve holds that another instance reported.
	relayTicks = 10
	relayTime  = 2500 * time.Millisecond
	// syncTime is how long a new instance waits for the reports of an instance with
	// complete knowledge before it takes customers that they do not contain for unused.
	syncTime = 2500 * time.Millisecond
	// slackPart is the part of the overage and of the tolerance by which rate and burst are
	// exceeded in the knowledge of one instance, which is old and counts some requests for
	// too long. Otherwise requests within the limit would be refused.
	slackPart = 0.5
	// maxInactive is how many instances that admit requests although they are not active count
	// like active ones.
	maxInactive = 12
	// inactiveTicks is the number of reports after which an instance that is not active gets
	// the next one.
	inactiveTicks = 2
	// restartTime is the least time that a restart takes.
	restartTime = 300 * time.Millisecond
	// MaxUses bounds the customers in one report, which has to fit into one packet of 1,200
	// bytes.
	MaxUses = 70
	// MaxProfiledUses bounds the customers in one report with parts of the window.
	MaxProfiledUses = 40
	// MaxAcks bounds the acknowledgements in one report.
	MaxAcks = 16
	// farewellCount is the number of reports that announce that an instance stops admitting
	// requests. The network may lose some of them.
	farewellCount = 3
	// minRetryAfter is the least delay that refused callers are asked for.
	minRetryAfter = 100 * time.Millisecond
	// maxContactRetryAfter is the longest delay that callers are asked for who are refused because
	// this instance knows no other one. New seeds may lead to a contact at any time.
	maxContactRetryAfter = time.Second
)

// policy is what the control goroutine decides for all customers. It is immutable.
type policy struct {
	bounds Bounds
	// at is when the policy was published.
	at time.Time
	// knownSince is the time since which this instance knows the use of all others.
	knownSince time.Time
	// synced is set once customers without a report are known to be unused.
	synced bool
	mode   Mode
	// contactAt is the last time at which the others knew the use of this instance.
	contactAt time.Time
	// active is set if this instance is active, and crowded if many instances admit requests
	// that are not. admitting is the number of instances that count like active ones, with this
	// one, inactive that of the others that admit requests, and size that of all instances.
	active    bool
	crowded   bool
	admitting int
	inactive  int
	size      int
	// even is the weight of an instance without use.
	even float64
	// unknownSince is when this instance started if it knows of no other one yet although there
	// may be some; zero otherwise.
	unknownSince time.Time
}

// overage is what all instances may admit in a window beyond a limit.
func (b Bounds) overage(limit float64) float64 { return limit*b.Overage + b.Tolerance }

// ceiling is what the instances in contact may admit in a window if what they know of each
// other is incomplete.
func (b Bounds) ceiling(limit float64) float64 {
	return limit + (1-isolatedPart)*b.overage(limit) - marginPart*limit
}

// unknownRoom is what all instances together may use before the others know it.
func (b Bounds) unknownRoom(limit, known float64) float64 {
	return min(b.ceiling(limit)-known, unknownPart*limit+b.Tolerance)
}

// allowance is what an isolated instance may admit in a window.
func (p *policy) allowance(limit float64) float64 {
	return float64(int(isolatedPart * p.bounds.overage(limit) / float64(max(p.size, p.admitting, 1))))
}

// contactRetryAfter returns the delay for callers that are refused because this instance knows
// no other one: as long as that has lasted, since lost seeds are only replaced after seconds.
func (p *policy) contactRetryAfter(now time.Time) time.Duration {
	return min(max(now.Sub(p.unknownSince), 2*minRetryAfter), maxContactRetryAfter)
}

// isStale reports whether the control goroutine or the whole machine stood still since the
// policy was published. The wall clock shows when a machine was suspended and its monotonic
// clock stood still.
func (p *policy) isStale(now time.Time) bool {
	return now.Sub(p.at) > staleAfter || now.Round(0).Sub(p.at.Round(0)) > staleAfter
}

// weight is the part of this instance, or of another one, in what is left of a limit, by an
// even part and by its part in the known use. The weights of all instances have a bounded sum
// only if these parts follow from use that all of them know.
func (p *policy) weight(useShare float64) float64 {
	if p.crowded && !p.active {
		return p.even
	}
	return evenPart*p.even + (1-evenPart)*useShare
}

// shareOfUse returns the part of an instance in the known use.
func shareOfUse(own, known float64) float64 {
	if known <= 0 {
		return 0
	}
	return min(max(own/known, 0), 1)
}

// evenWeight is the weight of an instance without use. With an equal part of what is left, a
// customer that moves to another instance is refused there: of 12 instances, 12% of the
// requests of a customer at its rate that moves every 3 s, 4% with this one. The customers of
// all instances rarely move to one of them at the same time.
//
// If many instances admit requests that are not active, these get a small part: after a
// restart of a whole fleet nearly all of them admit a request or two, and the active ones
// serve the callers.
func (p *policy) evenWeight() float64 {
	if p.crowded && !p.active {
		return inactivePart * math.Pow(float64(p.inactive+1), -0.5)
	}
	return math.Pow(float64(max(p.admitting, 1)), -0.75)
}

// assumed is the use before knownSince that is assumed to be still in the window: all that
// rate and burst allow.
func (p *policy) assumed(now time.Time, rate, burst float64) float64 {
	left := p.bounds.Window - restartTime - now.Sub(p.knownSince)
	if p.synced || left <= 0 {
		return 0
	}
	return burst + rate*left.Seconds()
}

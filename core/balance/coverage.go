package balance

import (
	"math"
	"time"

	"galenaridge/core/fleet"
)

// Choosing by estimated failure probability alone would send all requests to a few
// servers, and would so eject healthy servers as well. Therefore servers get a request from
// time to time: they are covered. In calm times the share of servers in use is kept at the
// floor, because requests that fail together, such as those in flight on an instance that
// loses power, are known too late. While the service fails part of its requests, each
// server that may be healthy is covered.

const (
	// coverFailureShare is the share of failed requests above which all servers are covered.
	// Failures of idempotent requests do not count, because second attempts serve most
	// of those requests. Occasional errors of healthy servers stay below this share.
	coverFailureShare = 0.055
	// strainedShare is the share of the servers that other instances withhold requests from
	// above which all servers are covered.
	strainedShare = 0.1
	// coverInterval is the time without a request after which a server is due for
	// coverage. It leaves a margin, since the floor must hold over any 2 s.
	// Idempotent requests cover a server earlier, after idempotentCoverInterval,
	// because they may be repeated.
	coverInterval           = 1600 * time.Millisecond
	idempotentCoverInterval = 1200 * time.Millisecond
	// assistInterval is the same for a server that the instances of its own failure domain
	// withhold requests from. The last of their requests may not have reached it.
	assistInterval = 500 * time.Millisecond
	// suspectedCoverDelay is the time after its last failure at which a suspected
	// server becomes eligible for coverage.
	suspectedCoverDelay = 3 * time.Second
	// maxSuspectedCoverInterval is the longest time between two coverage requests to
	// suspected servers while several are due. Those without which the floor would not be
	// kept are covered within about suspectedCoverSpan. requestsPerSuspectedCoverage bounds
	// the share of requests that cover suspected servers: one in so many.
	maxSuspectedCoverInterval    = 250 * time.Millisecond
	suspectedCoverSpan           = 400 * time.Millisecond
	requestsPerSuspectedCoverage = 4
	// calmCoverThreshold is the failure probability above which a server is not covered in
	// calm times. A healthy server is below it about 2 s after a single error.
	calmCoverThreshold = 0.4
	// costlyCoverFailures is the share of failures among the requests that cover servers in
	// calm times at which no more than the floor is covered. coverFailureWeight is the
	// weight of one request in that share.
	costlyCoverFailures = 0.2
	coverFailureWeight  = 0.03
	// counterBuckets and counterBucketSpan define the window over which failures are
	// counted.
	counterBuckets    = 10
	counterBucketSpan = 250 * time.Millisecond
)

// attemptCounter counts started and failed attempts over a sliding window.
type attemptCounter struct {
	started    [counterBuckets]int
	failed     [counterBuckets]int
	periods    fleet.PeriodCounter
	lastPeriod int64
}

// advance clears the buckets that have left the window and returns the index of the
// current one.
func (c *attemptCounter) advance(now time.Time) int64 {
	period := c.periods.PeriodNumber(now, counterBucketSpan)
	for i := max(c.lastPeriod+1, period-counterBuckets+1); i <= period; i++ {
		c.started[i%counterBuckets], c.failed[i%counterBuckets] = 0, 0
	}
	c.lastPeriod = max(c.lastPeriod, period)
	return c.lastPeriod % counterBuckets
}

func (c *attemptCounter) recordStart(now time.Time) { c.started[c.advance(now)]++ }

func (c *attemptCounter) recordFailure(now time.Time) { c.failed[c.advance(now)]++ }

// failureShare returns the share of failed attempts in the window. The given number of
// stalled attempts counts as failed, although they have not ended.
func (c *attemptCounter) failureShare(now time.Time, stalled int) float64 {
	c.advance(now)
	started, failed := 0, stalled
	for i := range c.started {
		started += c.started[i]
		failed += c.failed[i]
	}
	if started == 0 {
		return 0
	}
	return float64(failed) / float64(started)
}

// chooseForCoverage returns the server due for coverage that is least likely to be
// failing, or nil. While requests fail, every server gets its turn: the floor counts all
// servers without a fault, and these may be only a few of the servers that respond.
//
// The servers of a failure domain are covered by the instances there, and by all if those
// get no requests. Each counts a request of any of them, and none waits for another. Servers
// with which this instance assists come first, and suspected ones last.
func (p *Pool) chooseForCoverage(now time.Time, options PickOptions) (_ *server, calm bool) {
	calm = p.failureShare(now) < coverFailureShare && !p.strainedElsewhere
	interval := coverInterval
	if options.Idempotent {
		interval = idempotentCoverInterval
	}
	var own, assisted, suspected candidate
	reachable, inUse, wanted := 0, 0, 0
	var use floorUse
	mayAssist := p.requestsSinceAssistance >= requestsPerAssistance
	for _, s := range p.live {
		assists := p.assists(now, s)
		if !assists && !s.local && !p.unattended[s.info.Domain] || now.Before(s.cutUntil) || p.notices.excludes(now, s.info.Incarnation) {
			continue
		}
		due := interval
		if assists {
			due = assistInterval
		}
		used := now.Sub(s.lastRequestAt(now)) < due || s.requests(now) >= s.slots()
		if !assists {
			reachable++
			if used {
				inUse++
				use.addUsed()
			}
		}
		if used {
			continue
		}
		probability := s.finishedProbability(now)
		if !assists {
			use.addUnused(probability)
		}
		if len(s.attempts) > 0 || !s.mayCover(now, probability, calm, assists) {
			continue
		}
		isSuspected := probability >= suspectThreshold
		if isSuspected && assists {
			wanted++
		}
		if assists && !mayAssist || excluded(options.Exclude, s.info.Incarnation) {
			continue
		}
		switch {
		case isSuspected:
			suspected.offer(s, probability+tieBreakCost*s.order)
		case assists:
			// Those that were not used for the longest time come first.
			assisted.offer(s, -now.Sub(s.lastRequestAt(now)).Seconds())
		default:
			own.offer(s, probability+affinityCost*s.affinityRank+tieBreakCost*s.order)
		}
	}
	if calm && float64(inUse) >= p.calmShare()*float64(reachable) {
		own = candidate{}
	}
	switch {
	case assisted.server != nil:
		return assisted.server, calm
	case own.server != nil:
		return own.server, calm
	case suspected.server != nil && p.mayCoverSuspected(now, p.usefulAssistance(now, wanted)+use.missing(p.options.Floor+helpMargin)):
		return suspected.server, calm
	}
	return nil, calm
}

// failureShare returns the share of failures among the requests of this instance that must
// not be repeated.
func (p *Pool) failureShare(now time.Time) float64 {
	return p.recentAttempts.failureShare(now, p.countOverdue(now, func(a *Attempt) bool { return !a.idempotent }))
}

// candidate is the server with the lowest cost among those offered.
type candidate struct {
	server *server
	cost   float64
}

func (c *candidate) offer(s *server, cost float64) {
	if c.server == nil || cost < c.cost {
		c.server, c.cost = s, cost
	}
}

// floorUse compares the servers in use with the floor.
type floorUse struct{ used, all float64 }

// suspectedWeight is the weight of an unused suspected server in floorUse. The floor counts
// healthy servers, and some of the suspected ones are.
const suspectedWeight = 0.5

func (u *floorUse) addUsed() { u.used, u.all = u.used+1, u.all+1 }

func (u *floorUse) addUnused(probability float64) {
	if probability >= suspectThreshold {
		u.all += suspectedWeight
	} else {
		u.all++
	}
}

// missing returns how many servers more must be in use to reach a share.
func (u *floorUse) missing(share float64) int { return max(int(math.Ceil(share*u.all-u.used)), 0) }

// mayCoverSuspected reports whether a suspected server that is due may be covered now. The
// more of them are wanted in use, the more often: if most servers are suspected at the same
// time, the floor cannot be kept without them, and most are healthy again soon.
func (p *Pool) mayCoverSuspected(now time.Time, wanted int) bool {
	wait := min(suspectedCoverSpan/time.Duration(max(wanted, 1)), maxSuspectedCoverInterval)
	return now.Sub(p.coveredAt) >= wait && p.requestsSinceSuspected >= requestsPerSuspectedCoverage
}

// calmShare returns the share of servers that are kept in use while few requests fail: all
// of them if requests that cover servers hardly ever fail, and no more than the floor if
// they often do.
func (p *Pool) calmShare() float64 {
	return 1 - (1-p.options.Floor)*min(p.coverFailures/costlyCoverFailures, 1)
}

// recordCoverage counts the result of an attempt that covered a server in calm times.
func (p *Pool) recordCoverage(result Result) {
	failed := 0.0
	if result == Failed || result == Stalled {
		failed = 1
	}
	p.coverFailures += coverFailureWeight * (failed - p.coverFailures)
}

// countOverdue returns the number of outstanding attempts of a kind that exceed their stall
// limit.
func (p *Pool) countOverdue(now time.Time, counts func(a *Attempt) bool) int {
	count := 0
	for _, s := range p.live {
		for _, a := range s.attempts {
			if counts(a) && now.Sub(a.startedAt) > a.stallAfter {
				count++
			}
		}
	}
	return count
}

// lastRequestAt returns the time of the last request to the server, by this
// instance or, according to the reports, by another one.
func (s *server) lastRequestAt(now time.Time) time.Time {
	if remote := s.remote(now).lastRequestAt; remote.After(s.lastAttemptAt) {
		return remote
	}
	return s.lastAttemptAt
}

// mayCover reports whether a server without outstanding attempts, which fails with the given
// probability, is eligible for coverage. In calm times it must not have failed lately. While
// requests fail, it is not suspected, or its last failure was long enough ago. For an instance
// that assists, failures of the instances that withhold requests do not count.
func (s *server) mayCover(now time.Time, probability float64, calm, assists bool) bool {
	if calm && !assists {
		return probability < calmCoverThreshold
	}
	if probability < suspectThreshold {
		return true
	}
	failedAt := s.lastFailureAt
	if !assists {
		failedAt = later(failedAt, s.remote(now).failedAt)
	}
	return now.Sub(failedAt) >= suspectedCoverDelay
}

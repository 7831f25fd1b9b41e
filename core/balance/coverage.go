package balance

import (
	"time"

	"galenaridge/core/fleet"
)

// When a service fails part of its requests, choosing by estimated failure probability
// alone would send all requests to a few servers. That would eject healthy servers as
// well, so each server that may be healthy gets a request from time to time: it is
// covered.

const (
	// coverFailureShare is the share of failed requests above which coverage starts.
	// Failures of idempotent requests do not count, because second attempts serve most
	// of those requests. Occasional errors of healthy servers stay below this share.
	coverFailureShare = 0.055
	// coverInterval is the time without a request after which a server is due for
	// coverage. It leaves a margin, since the floor must hold over any 2 s.
	// Idempotent requests cover a server earlier, after idempotentCoverInterval,
	// because they may be repeated.
	coverInterval           = 1600 * time.Millisecond
	idempotentCoverInterval = 1200 * time.Millisecond
	// suspectedCoverDelay is the time after its last failure at which a suspected
	// server becomes eligible for coverage.
	suspectedCoverDelay = 3 * time.Second
	// suspectedCoverInterval is the minimum time between two coverage requests to
	// suspected servers.
	suspectedCoverInterval = 250 * time.Millisecond
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
// failing, or nil. Every server gets its turn: the floor counts all servers without
// a fault, and these may be only a few of the servers that respond.
func (p *Pool) chooseForCoverage(now time.Time, options PickOptions) *server {
	if p.recentAttempts.failureShare(now, p.countOverdue(now)) < coverFailureShare {
		return nil
	}
	interval := coverInterval
	if options.Idempotent {
		interval = idempotentCoverInterval
	}
	var best *server
	lowest := 1.0
	for _, s := range p.live {
		if s.info.Domain != p.options.Domain || now.Before(s.cutUntil) || p.notices.excludes(now, s.info.Incarnation) {
			continue
		}
		if now.Sub(s.lastRequestAt(now)) < interval {
			continue
		}
		if probability := s.failureProbability(now); probability < lowest && p.mayCover(now, s) && !excluded(options.Exclude, s.info.Incarnation) {
			best, lowest = s, probability
		}
	}
	if best != nil && best.finishedProbability(now) >= suspectThreshold {
		p.coveredAt = now
	}
	return best
}

// countOverdue returns the number of outstanding non-idempotent attempts that exceed
// their stall limit.
func (p *Pool) countOverdue(now time.Time) int {
	count := 0
	for _, s := range p.live {
		for _, a := range s.attempts {
			if !a.idempotent && now.Sub(a.startedAt) > a.stallAfter {
				count++
			}
		}
	}
	return count
}

// lastRequestAt returns the time of the last request to the server, by this
// instance or, according to the reports, by another one.
func (s *server) lastRequestAt(now time.Time) time.Time {
	last := s.lastAttemptAt
	for _, r := range s.remoteReports {
		if now.Sub(r.receivedAt) > remoteReportTTL {
			continue
		}
		at := r.estimate.updatedAt
		if r.outstanding > 0 {
			at = r.receivedAt
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// mayCover reports whether a server is eligible for coverage: it has no
// outstanding attempt, and it is not suspected or its last failure was long
// enough ago.
func (p *Pool) mayCover(now time.Time, s *server) bool {
	if len(s.attempts) > 0 {
		return false
	}
	if s.finishedProbability(now) < suspectThreshold {
		return true
	}
	return now.Sub(s.lastFailureAt) >= suspectedCoverDelay && now.Sub(p.coveredAt) >= suspectedCoverInterval
}

package balance

import (
	"time"

	"galenaridge/core/fleet"
)

// While a service fails a part of its requests, a choice by belief alone would
// send all requests to few servers. That is ejection of the others without their
// being bad, so each server that may be sound gets a request now and then.

const (
	// coverAbove is the share of requests that fail above which servers are
	// covered. Idempotent requests do not count as failed, since second attempts
	// serve most of them, and single errors of sound servers stay below.
	coverAbove = 0.055
	// coverEvery is the time without a request after which a server counts as
	// missing, while servers are covered. The floor is kept over any 2 s. Idempotent
	// requests cover servers sooner, since they may be repeated.
	coverEvery = 1600 * time.Millisecond
	coverSoon  = 1200 * time.Millisecond
	// coverSuspected is the time after its last failure after which a suspected
	// server is covered too.
	coverSuspected = 3 * time.Second
	// coverPause is the least time between requests to suspected servers for
	// that reason.
	coverPause = 250 * time.Millisecond
	// tallySlots are the parts of the time for which failures are counted.
	tallySlots = 10
	tallySlot  = 250 * time.Millisecond
)

// tally counts the attempts of the last seconds and those that failed.
type tally struct {
	started [tallySlots]int
	failed  [tallySlots]int
	ticks   fleet.PeriodCounter
	tick    int64
}

// advance clears the parts that have passed.
func (t *tally) advance(now time.Time) int64 {
	tick := t.ticks.PeriodNumber(now, tallySlot)
	for i := max(t.tick+1, tick-tallySlots+1); i <= tick; i++ {
		t.started[i%tallySlots], t.failed[i%tallySlots] = 0, 0
	}
	t.tick = max(t.tick, tick)
	return t.tick % tallySlots
}

func (t *tally) start(now time.Time) { t.started[t.advance(now)]++ }

func (t *tally) fail(now time.Time) { t.failed[t.advance(now)]++ }

// share returns the share of failures, where the given number of attempts has
// not ended but most likely fails.
func (t *tally) share(now time.Time, stalled int) float64 {
	t.advance(now)
	started, failed := 0, stalled
	for i := range t.started {
		started += t.started[i]
		failed += t.failed[i]
	}
	if started == 0 {
		return 0
	}
	return float64(failed) / float64(started)
}

// cover returns the server that should get a request for the floor, if requests of
// the service fail: of those that may be sound and are without one, that which most
// likely is. None may be left out, since the floor counts servers that nothing has
// disturbed, which may be few of those that work.
func (p *Pool) cover(now time.Time, ask PickOptions) *server {
	if p.recent.share(now, p.overdue(now)) < coverAbove {
		return nil
	}
	within := coverEvery
	if ask.Idempotent {
		within = coverSoon
	}
	var best *server
	least := 1.0
	for _, s := range p.list {
		if s.info.Domain != p.options.Domain || now.Before(s.cutUntil) {
			continue
		}
		if now.Sub(s.lastTried(now)) < within {
			continue
		}
		if failing := s.failing(now); failing < least && p.mayCover(now, s) && !excluded(ask.Exclude, s.info.Incarnation) {
			best, least = s, failing
		}
	}
	if best != nil && best.joint(now) >= suspectAbove {
		p.coveredAt = now
	}
	return best
}

// overdue counts the attempts that must not run twice and take longer than usual.
func (p *Pool) overdue(now time.Time) int {
	count := 0
	for _, s := range p.list {
		for _, l := range s.leases {
			if !l.idempotent && now.Sub(l.started) > l.stallAfter {
				count++
			}
		}
	}
	return count
}

// lastTried returns when the server last had a request, of this instance or of
// another one as far as it told.
func (s *server) lastTried(now time.Time) time.Time {
	last := s.triedAt
	for _, r := range s.remotes {
		if now.Sub(r.heardAt) > shareLife {
			continue
		}
		at := r.belief.at
		if r.outstanding > 0 {
			at = r.heardAt
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// mayCover reports whether a server may be sound.
func (p *Pool) mayCover(now time.Time, s *server) bool {
	if len(s.leases) > 0 {
		return false
	}
	if s.joint(now) < suspectAbove {
		return true
	}
	return now.Sub(s.failedAt) >= coverSuspected && now.Sub(p.coveredAt) >= coverPause
}

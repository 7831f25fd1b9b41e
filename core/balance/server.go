package balance

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// server is what the pool knows of one server.
type server struct {
	info registry.Server
	// leases are the outstanding attempts.
	leases []*Lease
	// reported is the load that the server stated last.
	reported   Load
	reportedAt time.Time
	// suspected says that the server failed since its last trials succeeded.
	suspected bool
	since     time.Time
	// trialAt is when the next trial may start, dueAt when requests that are
	// not idempotent may be used as trials.
	trialAt time.Time
	dueAt   time.Time
	// strikes counts the failures in a row of suspicions, passes the trials
	// that succeeded since the last failure.
	strikes int
	passes  int
	// struckAt is the last failure.
	struckAt time.Time
	// cutUntil is until when the server counts as unreachable from here.
	cutUntil time.Time
	cuts     int
	// slowness is the ratio of the time that the server takes to the usual one.
	slowness float64
}

// Load is what a server states about itself.
type Load struct {
	Running int
	Waiting int
	Slots   fleet.Slots
}

func newServer(info registry.Server) *server {
	return &server{info: info, slowness: 1}
}

// slots returns how many requests the server works on at a time.
func (s *server) slots() float64 { return max(float64(s.info.Slots), 1) }

// busy returns how many requests the server has, as far as is known.
func (s *server) busy(now time.Time) float64 {
	own := float64(len(s.leases))
	if now.Sub(s.reportedAt) > reportLife {
		return own
	}
	return max(own, float64(s.reported.Running+s.reported.Waiting))
}

// stalling reports whether an attempt is outstanding for longer than usual.
func (s *server) stalling(now time.Time) bool {
	for _, l := range s.leases {
		if now.Sub(l.started) > l.stallAfter {
			return true
		}
	}
	return false
}

// condition returns what is believed of the server.
func (s *server) condition(now time.Time) Condition {
	switch {
	case now.Before(s.cutUntil):
		return Cut
	case s.suspected:
		return Suspected
	case s.stalling(now):
		return Stalling
	default:
		return Healthy
	}
}

// cost orders the servers of the same condition: the share of the slots that
// are taken, with a surcharge for what makes an answer late or expensive.
func (s *server) cost(now time.Time, domain fleet.Domain) float64 {
	busy, slots := s.busy(now), s.slots()
	cost := (busy + 1) / slots * s.slowness
	if busy >= slots {
		cost += queueCost * (busy - slots + 1) / slots
	}
	if now.Before(s.info.Warm) {
		cost = coldFactor*cost + coldCost
	}
	if s.info.Domain != domain {
		cost += distanceCost
	}
	return cost
}

// wait returns how long a new request waits for a slot.
func (s *server) wait(now time.Time, expected time.Duration) time.Duration {
	ahead := s.busy(now) - s.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / s.slots() * float64(expected))
}

// strike records a failure.
func (s *server) strike(now time.Time, hold time.Duration) {
	if now.Sub(s.struckAt) > strikeMemory {
		s.strikes = 0
	}
	if !s.suspected {
		s.suspected = true
		s.since = now
	}
	s.strikes++
	s.struckAt = now
	s.passes = 0
	factor := time.Duration(1) << min(s.strikes-1, maxDoublings)
	s.trialAt = now.Add(min(trialPause*factor, maxTrialPause))
	s.dueAt = now.Add(min(hold*factor, maxHold))
}

// pass records a success of an attempt that began after the last failure.
func (s *server) pass(started time.Time) (cleared bool) {
	if !s.suspected || started.Before(s.struckAt) {
		return false
	}
	s.passes++
	if s.passes < passesNeeded {
		return false
	}
	s.suspected = false
	return true
}

// remove takes a lease off the list.
func (s *server) remove(lease *Lease) {
	for i, l := range s.leases {
		if l == lease {
			last := len(s.leases) - 1
			s.leases[i] = s.leases[last]
			s.leases[last] = nil
			s.leases = s.leases[:last]
			return
		}
	}
}

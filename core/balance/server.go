package balance

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// server is what the pool knows of one server.
type server struct {
	info registry.Server
	key  ServerKey
	// leases are the outstanding attempts.
	leases []*Attempt
	// reported is the load that the server stated last.
	reported   Load
	reportedAt time.Time
	// shed says that reported stands for a request that the server turned away.
	shed bool
	// belief is what finished attempts tell; suspected is whether it was logged
	// as a suspicion.
	belief    belief
	suspected bool
	since     time.Time
	// failedAt is when the last attempt failed.
	failedAt time.Time
	// triedAt is when the last attempt began, stalls counts those in a row that
	// brought no answer.
	triedAt time.Time
	stalls  int
	// cutUntil is until when the server counts as unreachable from here.
	cutUntil time.Time
	cuts     int
	// remotes holds what other instances told, told what this one told them.
	remotes map[fleet.InstanceID]remote
	told    ServerReport
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
	return &server{
		info:     info,
		key:      KeyOf(info.Incarnation),
		slowness: 1,
		belief:   belief{failing: usualFailing},
		remotes:  make(map[fleet.InstanceID]remote),
	}
}

// slots returns how many requests the server works on at a time.
func (s *server) slots() float64 { return max(float64(s.info.Slots), 1) }

// busy returns how many requests the server has, as far as is known.
func (s *server) busy(now time.Time) float64 {
	own := float64(len(s.leases) + s.elsewhere(now))
	if now.Sub(s.reportedAt) > reportLife {
		return own
	}
	return max(own, float64(s.reported.Running+s.reported.Waiting))
}

// failing returns the probability that the server is failing, by what finished
// here, by what others told, and by the age of what is outstanding.
func (s *server) failing(now time.Time) float64 {
	return s.withOutstanding(now, s.joint(now))
}

// condition returns what is believed of the server.
func (s *server) condition(now time.Time) Condition {
	switch failing := s.failing(now); {
	case now.Before(s.cutUntil):
		return Cut
	case failing < suspectAbove:
		return Healthy
	case s.belief.now(now) < suspectAbove:
		return Stalling
	default:
		return Suspected
	}
}

// load returns the cost of the time that a request takes on the server, beyond
// that on an idle one: the risk that the answer comes too late.
func (s *server) load(now time.Time, expected, objective time.Duration) float64 {
	cost := busyCost * s.busy(now) / s.slots()
	late := s.wait(now, expected) + time.Duration((s.slowness-1)*float64(expected))
	if now.Before(s.info.WarmAt) {
		late += time.Duration((coldFactor - 1) * float64(expected))
		cost += coldCost
	}
	spare := max(objective-expected, expected, time.Millisecond)
	share := float64(late) / float64(spare)
	return cost + lateCost*share + lateSquareCost*share*share
}

// wait returns how long a new request waits for a slot.
func (s *server) wait(now time.Time, expected time.Duration) time.Duration {
	return s.waitBehind(s.busy(now), expected)
}

// queue returns how long a new request waits for a slot behind requests that are
// known. A server that turned one away may have had other reasons than its load.
func (s *server) queue(now time.Time, expected time.Duration) time.Duration {
	if s.shed {
		return s.waitBehind(float64(len(s.leases)+s.elsewhere(now)), expected)
	}
	return s.wait(now, expected)
}

// waitBehind returns how long a request waits for a slot behind a number of
// others.
func (s *server) waitBehind(busy float64, expected time.Duration) time.Duration {
	ahead := busy - s.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / s.slots() * float64(expected))
}

// remove takes a lease off the list.
func (s *server) remove(lease *Attempt) {
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

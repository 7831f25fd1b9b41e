package balance

import "time"

// While a service has more requests than its servers can work on, a queue only
// makes answers late: what is served is the same, after its objective. So requests
// are refused whose wait would end after it. The requests of all routes wait in the
// same queues, and less urgent ones must not fill them beyond what urgent ones can
// wait for.

const (
	// patienceLife is how long the slack of requests of a priority is remembered.
	patienceLife = 3 * time.Second
	// yield is the share of the slack that a request leaves for each more urgent
	// priority.
	yield = 0.15
	// maxPriorities bounds the priorities that are told apart; all others count as
	// the last one.
	maxPriorities = 8
)

// slack is the shortest time that requests of a priority can wait and still meet
// their objective.
type slack struct {
	wait time.Duration
	at   time.Time
}

// patience holds the slack of each priority.
type patience struct{ slacks [maxPriorities]slack }

// bound returns the longest wait for a slot that is worth it for a request with a
// slack of its own.
func (p *patience) bound(now time.Time, priority int, own time.Duration) time.Duration {
	own = max(own, 0)
	priority = min(max(priority, 0), maxPriorities-1)
	if s := &p.slacks[priority]; own <= s.wait || now.Sub(s.at) > patienceLife {
		*s = slack{wait: own, at: now}
	}
	wait, share := own, 1.0
	for i := range priority {
		if s := p.slacks[i]; !s.at.IsZero() && now.Sub(s.at) <= patienceLife {
			wait = min(wait, s.wait)
			share -= yield
		}
	}
	return time.Duration(max(share, yield) * float64(wait))
}

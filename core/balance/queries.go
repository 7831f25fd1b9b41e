package balance

import "time"

// Counts holds the number of live servers by condition and their outstanding attempts.
type Counts struct {
	Servers     int
	Healthy     int
	Stalling    int
	Suspected   int
	Cut         int
	Outstanding int
	// Unused is the number of servers that this instance has to keep in use and that got
	// no request of any instance for unusedAfter, UnusedCut the number of those of them
	// that it cannot reach, UnusedSuspected the number of those that it suspects.
	Unused          int
	UnusedCut       int
	UnusedSuspected int
	// Load and LargestLoad are the mean and the largest number of requests, as far as known,
	// of all instances on a healthy server of the own failure domain. First is the number of
	// servers for which this instance comes first, FirstOutstanding that of its own
	// outstanding attempts on them.
	Load             float64
	LargestLoad      float64
	First            int
	FirstOutstanding int
}

// unusedAfter is the time without a request after which a server counts as unused.
const unusedAfter = 2 * time.Second

// Counts returns the number of live servers in each condition at now.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := Counts{Servers: len(p.live)}
	sum, healthy := 0.0, 0
	for _, s := range p.live {
		counts.Outstanding += len(s.attempts)
		condition := s.condition(now)
		if s.local {
			if condition == Healthy {
				load := s.requests(now)
				sum, healthy = sum+load, healthy+1
				counts.LargestLoad = max(counts.LargestLoad, load)
			}
			if s.hasAffinity() {
				counts.First++
				counts.FirstOutstanding += len(s.attempts)
			}
		}
		if p.covers(s.info.Domain) && now.Sub(s.lastRequestAt(now)) > unusedAfter {
			counts.countUnused(condition)
		}
		switch condition {
		case Healthy:
			counts.Healthy++
		case Stalling:
			counts.Stalling++
		case Suspected:
			counts.Suspected++
		case Cut:
			counts.Cut++
		}
	}
	counts.Load = sum / float64(max(healthy, 1))
	return counts
}

// ExpectedDuration returns the expected duration of a kind of request. Before the
// first measurement it is a fraction of the latency objective.
func (p *Pool) ExpectedDuration(kind RequestKind, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.durations.expected(kind, objective)
}

func (c *Counts) countUnused(condition Condition) {
	c.Unused++
	switch condition {
	case Cut:
		c.UnusedCut++
	case Suspected, Stalling:
		c.UnusedSuspected++
	case Healthy:
	}
}

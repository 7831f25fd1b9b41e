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
}

// Counts returns the number of live servers in each condition at now.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := Counts{Servers: len(p.live)}
	for _, s := range p.live {
		counts.Outstanding += len(s.attempts)
		switch s.condition(now) {
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
	return counts
}

// ExpectedDuration returns the expected duration of a kind of request. Before the
// first measurement it is a fraction of the latency objective.
func (p *Pool) ExpectedDuration(kind RequestKind, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.durations.expected(kind, objective)
}

package balance

import "time"

// Counts says how many servers are in each condition.
type Counts struct {
	Servers     int
	Healthy     int
	Stalling    int
	Suspected   int
	Cut         int
	Outstanding int
}

// Counts returns how many servers are in each condition.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := Counts{Servers: len(p.list)}
	for _, s := range p.list {
		counts.Outstanding += len(s.leases)
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

// ExpectedDuration returns the usual duration of a kind of request.
func (p *Pool) ExpectedDuration(kind RequestKind, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usual.expected(kind, objective)
}

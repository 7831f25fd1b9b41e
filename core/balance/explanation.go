package balance

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/registry"
)

// Costs holds the parts of the cost of a server. A cost of 1 equals the certain failure of a
// request.
type Costs struct {
	// Load is the cost of requests in progress, of slowness and of a recent start.
	Load float64
	// Affinity is the cost of the rank of this instance for the server.
	Affinity float64
	// Remote is the cost of another failure domain.
	Remote float64
	// Cut is the cost of a server that was recently unreachable.
	Cut float64
	// Warm is the discount for a server with an idle connection.
	Warm float64
	// Failure is the weighted probability that the server fails the request, Freshness the
	// discount for a server without recent attempts.
	Failure   float64
	Freshness float64
}

// Total returns the sum of all parts.
func (c Costs) Total() float64 {
	return c.Load + c.Affinity + c.Remote + c.Cut + c.Warm + c.Failure + c.Freshness
}

// Candidate is a server that can be chosen for a request.
type Candidate struct {
	Server registry.Server
	Costs  Costs
	// Requests is the known number of requests on the server, ExpectedWait the time until
	// it begins with another one.
	Requests     int
	ExpectedWait time.Duration
	// FailureProbability is the estimate that the server is failing.
	FailureProbability float64
	// KnownAt is when the load of the server was last reported, by itself or another
	// instance; zero if nothing but the requests of this instance is known.
	KnownAt time.Time
}

// ExcludedServer is a server that cannot be chosen for a request.
type ExcludedServer struct {
	Server registry.Server
	Reason Exclusion
}

// Explanation is the choice that Pick would make, and why.
type Explanation struct {
	Result PickResult
	// Chosen is the server; it need not have the lowest cost if Trial or Coverage is set.
	Chosen   *registry.Server
	Trial    bool
	Coverage bool
	// Tied is the number of candidates whose costs differ from the lowest by less than the
	// random part. Unless Trial or Coverage is set, any of them may be chosen.
	Tied             int
	ExpectedDuration time.Duration
	// Candidates are in order of their costs.
	Candidates []Candidate
	Excluded   []ExcludedServer
}

// observer collects the servers that a decision considers.
type observer struct {
	candidates []Candidate
	// queued are the servers that are candidates only if all others are suspected.
	queued   []Candidate
	excluded []ExcludedServer
}

func (o *observer) add(now time.Time, s *server, costs Costs, expected time.Duration, queued bool) {
	candidates := &o.candidates
	if queued {
		candidates = &o.queued
	}
	*candidates = append(*candidates, Candidate{
		Server:             s.info,
		Costs:              costs,
		Requests:           int(s.requests(now)),
		ExpectedWait:       s.expectedWait(now, expected),
		FailureProbability: s.failureProbability(now),
		KnownAt:            s.knownAt(),
	})
}

func (o *observer) exclude(p *Pool, now time.Time, s *server, options PickOptions) {
	reason := QueueTooLong
	switch {
	case excluded(options.Exclude, s.info.Incarnation):
		reason = Tried
	case p.notices.excludes(now, s.info.Incarnation):
		reason = Noticed
	}
	o.excluded = append(o.excluded, ExcludedServer{Server: s.info, Reason: reason})
}

// resolveQueued makes the servers with a longer queue candidates, or excludes them.
func (o *observer) resolveQueued(candidates bool) {
	for _, c := range o.queued {
		if candidates {
			o.candidates = append(o.candidates, c)
		} else {
			o.excluded = append(o.excluded, ExcludedServer{Server: c.Server, Reason: QueueTooLong})
		}
	}
}

// knownAt returns the time of the last report of the load of the server.
func (s *server) knownAt() time.Time {
	at := s.loadReportedAt
	for _, r := range s.remoteReports {
		at = later(at, r.receivedAt)
	}
	return at
}

// Explain returns the choice that Pick would make for a request, by the same code. It starts
// no attempt and has no influence on later choices.
func (p *Pool) Explain(now time.Time, options PickOptions) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.durations.expected(options.Kind, options.LatencyObjective)
	// The slack of a request that does not exist must not limit others.
	limits := p.waitLimits
	var o observer
	d := p.decide(now, options, expected, &limits, &o)
	slices.SortStableFunc(o.candidates, func(a, b Candidate) int { return cmp.Compare(a.Costs.Total(), b.Costs.Total()) })
	e := Explanation{
		Result:           d.result,
		Trial:            d.trial,
		Coverage:         d.coverage,
		ExpectedDuration: expected,
		Candidates:       o.candidates,
		Excluded:         o.excluded,
	}
	if d.server != nil {
		info := d.server.info
		e.Chosen = &info
	}
	for _, c := range e.Candidates {
		if c.Costs.Total()-e.Candidates[0].Costs.Total() < tieBreakCost {
			e.Tied++
		}
	}
	return e
}

package gateway

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/dispatch"
)

// maxRoutes bounds the routes that have a histogram of their own; all others
// share one.
const maxRoutes = 64

// other is the label of routes without a histogram of their own.
const other = "other"

// series counts requests. The sets of VictoriaMetrics look metrics up by
// formatted names under a lock, so the metrics are kept here.
type series struct {
	set *metrics.Set

	mu        sync.Mutex
	durations map[string]*metrics.Histogram
	outcomes  map[outcome]*metrics.Counter
	attempts  map[string]*metrics.Counter
}

// outcome is the pair of labels of a counter. Both values come from small sets.
type outcome struct {
	outcome string
	reason  string
}

func newSeries(set *metrics.Set) *series {
	return &series{
		set:       set,
		durations: make(map[string]*metrics.Histogram),
		outcomes:  make(map[outcome]*metrics.Counter),
		attempts:  make(map[string]*metrics.Counter),
	}
}

// served counts a request.
func (s *series) served(r dispatch.RequestRecord) {
	labels := outcome{outcome: r.Response.Outcome.String(), reason: string(r.Response.Code)}
	if labels.reason == "" {
		labels.reason = statusClass(r.Response.Status)
	}
	if r.CallerLeft {
		labels.reason = "caller_left"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duration(r.Route).Update(r.Duration.Seconds())
	s.outcome(labels).Inc()
	for _, a := range r.Attempts {
		s.attempt(a.Result.String()).Inc()
	}
}

func statusClass(status int) string {
	if status < 100 || status > 599 {
		return other
	}
	return fmt.Sprintf("%dxx", status/100)
}

func (s *series) duration(route string) *metrics.Histogram {
	if h, ok := s.durations[route]; ok {
		return h
	}
	if len(s.durations) >= maxRoutes {
		route = other
	}
	h := s.set.GetOrCreateHistogram(fmt.Sprintf("galenaridge_route_seconds{route=%q}", route))
	s.durations[route] = h
	return h
}

func (s *series) outcome(labels outcome) *metrics.Counter {
	if c, ok := s.outcomes[labels]; ok {
		return c
	}
	c := s.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_requests_total{outcome=%q,reason=%q}", labels.outcome, labels.reason))
	s.outcomes[labels] = c
	return c
}

func (s *series) attempt(result string) *metrics.Counter {
	if c, ok := s.attempts[result]; ok {
		return c
	}
	c := s.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_attempts_total{result=%q}", result))
	s.attempts[result] = c
	return c
}

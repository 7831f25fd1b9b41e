package gateway

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/dispatch"
)

// maxRouteHistograms bounds the routes with a histogram of their own; all further
// routes share one.
const maxRouteHistograms = 64

// otherLabel is the label of routes without a histogram of their own.
const otherLabel = "other"

// requestMetrics holds the histograms and counters of requests. They are cached
// here by label because a metrics.Set looks them up by their formatted name under
// a lock.
type requestMetrics struct {
	set *metrics.Set

	mu        sync.Mutex
	durations map[string]*metrics.Histogram
	outcomes  map[outcomeLabels]*metrics.Counter
	attempts  map[string]*metrics.Counter
	refusals  map[refusalLabels]*metrics.Counter
}

// refusalLabels are the labels of a counter of refusals.
type refusalLabels struct {
	reason   string
	priority int
}

// maxPriorityLabel is the highest priority with a label of its own; higher ones count as
// this one.
const maxPriorityLabel = 7

// outcomeLabels are the labels of a request counter. Both have few possible values.
type outcomeLabels struct {
	outcome string
	reason  string
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	return &requestMetrics{
		set:       set,
		durations: make(map[string]*metrics.Histogram),
		outcomes:  make(map[outcomeLabels]*metrics.Counter),
		attempts:  make(map[string]*metrics.Counter),
		refusals:  make(map[refusalLabels]*metrics.Counter),
	}
}

// record adds a finished request and its attempts to the metrics.
func (m *requestMetrics) record(request dispatch.RequestRecord) {
	labels := outcomeLabels{outcome: request.Response.Outcome.String(), reason: outcomeReason(request)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durationHistogram(request.Route).Update(request.Duration.Seconds())
	m.outcomeCounter(labels).Inc()
	if request.Response.Refused() {
		m.refusalCounter(refusalLabels{string(request.Response.Code), min(int(request.Priority), maxPriorityLabel)}).Inc()
	}
	for _, a := range request.Attempts {
		m.attemptCounter(a.Result.String()).Inc()
	}
}

// outcomeReason returns the refusal code or the status class of a finished request.
func outcomeReason(request dispatch.RequestRecord) string {
	switch {
	case request.CallerLeft:
		return "caller_left"
	case request.Response.Refused():
		return string(request.Response.Code)
	default:
		return statusClass(request.Response.Status)
	}
}

func statusClass(status int) string {
	if status < 100 || status > 599 {
		return otherLabel
	}
	return fmt.Sprintf("%dxx", status/100)
}

func (m *requestMetrics) durationHistogram(route string) *metrics.Histogram {
	if h, ok := m.durations[route]; ok {
		return h
	}
	if len(m.durations) >= maxRouteHistograms {
		route = otherLabel
	}
	h := m.set.GetOrCreateHistogram(fmt.Sprintf("galenaridge_route_seconds{route=%q}", route))
	m.durations[route] = h
	return h
}

func (m *requestMetrics) outcomeCounter(labels outcomeLabels) *metrics.Counter {
	if c, ok := m.outcomes[labels]; ok {
		return c
	}
	c := m.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_requests_total{outcome=%q,reason=%q}", labels.outcome, labels.reason))
	m.outcomes[labels] = c
	return c
}

func (m *requestMetrics) attemptCounter(result string) *metrics.Counter {
	if c, ok := m.attempts[result]; ok {
		return c
	}
	c := m.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_attempts_total{result=%q}", result))
	m.attempts[result] = c
	return c
}

func (m *requestMetrics) refusalCounter(labels refusalLabels) *metrics.Counter {
	if c, ok := m.refusals[labels]; ok {
		return c
	}
	c := m.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_refusals_total{reason=%q,priority=\"%d\"}", labels.reason, labels.priority))
	m.refusals[labels] = c
	return c
}

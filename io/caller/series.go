package caller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/fleet"
)

// otherLabel is the label of values without a time series of their own.
const otherLabel = "other"

// maxCodes bounds the number of counters by outcome and code, since other
// instances may send arbitrary codes.
const maxCodes = 64

// series holds the metrics of responses to callers. VictoriaMetrics finds a metric
// by its formatted name under a lock, so series caches the metrics by their labels.
type series struct {
	set       *metrics.Set
	durations sync.Map // requestLabels to *metrics.Histogram
	responses sync.Map // responseLabels to *metrics.Counter
	codeCount atomic.Int64
}

// requestLabels are the labels of a duration histogram.
type requestLabels struct {
	customer fleet.Customer
	class    fleet.Class
}

// responseLabels are the labels of a response counter.
type responseLabels struct {
	outcome fleet.Outcome
	code    string
}

func newSeries(set *metrics.Set) *series {
	if set == nil {
		set = metrics.NewSet()
	}
	return &series{set: set}
}

// observe records the duration of a request. All customers that are not configured
// share one histogram.
func (s *series) observe(customer fleet.Customer, class fleet.Class, configured bool, duration time.Duration) {
	labels := requestLabels{customer, class}
	if !configured {
		labels = requestLabels{otherLabel, otherLabel}
	}
	stored, ok := s.durations.Load(labels)
	if !ok {
		name := fmt.Sprintf("galenaridge_request_seconds{tenant=%q,class=%q}", labels.customer, labels.class)
		stored, _ = s.durations.LoadOrStore(labels, s.set.GetOrCreateHistogram(name))
	}
	if histogram, ok := stored.(*metrics.Histogram); ok {
		histogram.Update(duration.Seconds())
	}
}

// countResponse counts a response by its outcome and code. Once there are maxCodes
// counters, all further codes share one counter for each outcome.
func (s *series) countResponse(labels responseLabels) {
	stored, ok := s.responses.Load(labels)
	if !ok {
		if s.codeCount.Add(1) > maxCodes {
			s.codeCount.Add(-1)
			labels.code = otherLabel
		}
		name := fmt.Sprintf("galenaridge_requests_total{outcome=%q,code=%q}", labels.outcome, labels.code)
		stored, _ = s.responses.LoadOrStore(labels, s.set.GetOrCreateCounter(name))
	}
	if counter, ok := stored.(*metrics.Counter); ok {
		counter.Inc()
	}
}

// countAssignment counts a response of the paths under /-/.
func (s *series) countAssignment(code string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_assignments_total{code=%q}", code)).Inc()
}

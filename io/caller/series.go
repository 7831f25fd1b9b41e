package caller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/fleet"
)

// other is the label of everything that has no label of its own.
const other = "other"

// maxCodes bounds the pairs of outcome and code that have a counter of their
// own, since codes may come from other instances.
const maxCodes = 64

// series records what callers receive. The sets of VictoriaMetrics look
// metrics up by formatted names under a lock, so the metrics are kept here.
type series struct {
	set       *metrics.Set
	durations sync.Map // of audience to *metrics.Histogram
	answers   sync.Map // of answer to *metrics.Counter
	codes     atomic.Int64
}

// audience is the pair of labels of a histogram.
type audience struct {
	tenant fleet.Tenant
	class  fleet.Class
}

// answer is the pair of labels of a counter.
type answer struct {
	outcome fleet.Outcome
	code    string
}

func newSeries(set *metrics.Set) *series {
	if set == nil {
		set = metrics.NewSet()
	}
	return &series{set: set}
}

// observe records the duration of a request. Tenants that are not configured
// share one histogram.
func (s *series) observe(tenant fleet.Tenant, class fleet.Class, known bool, took time.Duration) {
	labels := audience{tenant, class}
	if !known {
		labels = audience{other, other}
	}
	found, ok := s.durations.Load(labels)
	if !ok {
		name := fmt.Sprintf("galenaridge_request_seconds{tenant=%q,class=%q}", labels.tenant, labels.class)
		found, _ = s.durations.LoadOrStore(labels, s.set.GetOrCreateHistogram(name))
	}
	if histogram, ok := found.(*metrics.Histogram); ok {
		histogram.Update(took.Seconds())
	}
}

// count counts a response by its outcome and code.
func (s *series) count(labels answer) {
	found, ok := s.answers.Load(labels)
	if !ok {
		if s.codes.Add(1) > maxCodes {
			s.codes.Add(-1)
			labels.code = other
		}
		name := fmt.Sprintf("galenaridge_requests_total{outcome=%q,code=%q}", labels.outcome, labels.code)
		found, _ = s.answers.LoadOrStore(labels, s.set.GetOrCreateCounter(name))
	}
	if counter, ok := found.(*metrics.Counter); ok {
		counter.Inc()
	}
}

// assigned counts an answer of the routes of the instance.
func (s *series) assigned(code string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("galenaridge_assignments_total{code=%q}", code)).Inc()
}

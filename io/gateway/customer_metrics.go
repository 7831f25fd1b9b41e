package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
)

const (
	// maxCustomerLabels bounds the customers with series of their own; all others share
	// one label.
	maxCustomerLabels = 32
	// customerPeriod is the time after which the customers with a label are chosen anew, by
	// their requests in that time.
	customerPeriod = time.Minute
	// maxIdleCustomers bounds the customers without recent requests whose counts are kept.
	maxIdleCustomers = 20_000
)

// customerCounts are the requests of one customer on this instance.
type customerCounts struct {
	requests uint64
	refused  uint64
	// recent is the number of requests in the current period.
	recent uint64
	// labeled is set if the customer has series of its own.
	labeled bool
}

// customerMetrics counts requests by customer. The counters of the largest customers have
// their name as label.
type customerMetrics struct {
	set *metrics.Set

	mu            sync.Mutex
	counts        map[fleet.Customer]*customerCounts
	counters      map[customerLabels]*metrics.Counter
	periodEndsAt  time.Time
	labeledNumber int
}

// customerLabels are the labels of a counter. The reason has few possible values.
type customerLabels struct {
	customer string
	reason   string
}

func newCustomerMetrics(set *metrics.Set) *customerMetrics {
	return &customerMetrics{
		set:      set,
		counts:   make(map[fleet.Customer]*customerCounts),
		counters: make(map[customerLabels]*metrics.Counter),
	}
}

// record adds a finished request. Requests without a customer are not counted here.
func (m *customerMetrics) record(now time.Time, request dispatch.RequestRecord) {
	if request.Customer == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !now.Before(m.periodEndsAt) {
		m.chooseLabels()
		m.periodEndsAt = now.Add(customerPeriod)
	}
	c, known := m.counts[request.Customer]
	if !known {
		c = &customerCounts{labeled: m.labeledNumber < maxCustomerLabels}
		if c.labeled {
			m.labeledNumber++
		}
		m.counts[request.Customer] = c
	}
	c.requests++
	c.recent++
	if request.Response.Refused() {
		c.refused++
	}
	labels := customerLabels{customer: otherLabel, reason: outcomeReason(request)}
	if c.labeled {
		labels.customer = string(request.Customer)
	}
	m.counter(labels).Inc()
}

func (m *customerMetrics) counter(labels customerLabels) *metrics.Counter {
	if c, ok := m.counters[labels]; ok {
		return c
	}
	c := m.set.GetOrCreateCounter(labels.series())
	m.counters[labels] = c
	return c
}

func (l customerLabels) series() string {
	return fmt.Sprintf("galenaridge_customer_requests_total{customer=%q,reason=%q}", l.customer, l.reason)
}

// chooseLabels gives the labels to the customers with the most requests in the period that
// ends. A customer keeps its label while it is among the larger half as many again, so that
// series do not come and go. The series of the others are removed.
func (m *customerMetrics) chooseLabels() {
	largest := slices.SortedFunc(maps.Keys(m.counts), func(a, b fleet.Customer) int {
		return cmp.Or(cmp.Compare(m.counts[b].recent, m.counts[a].recent), cmp.Compare(a, b))
	})
	m.labeledNumber = 0
	for i, name := range largest {
		c := m.counts[name]
		if c.labeled && i >= maxCustomerLabels*3/2 {
			m.removeLabel(name)
		}
		if c.labeled {
			m.labeledNumber++
		}
	}
	for i, name := range largest {
		c := m.counts[name]
		if !c.labeled && m.labeledNumber < maxCustomerLabels {
			c.labeled = true
			m.labeledNumber++
		}
		if c.recent == 0 && i >= maxIdleCustomers {
			delete(m.counts, name)
		}
		c.recent = 0
	}
}

func (m *customerMetrics) removeLabel(name fleet.Customer) {
	m.counts[name].labeled = false
	for labels := range m.counters {
		if labels.customer == string(name) {
			m.set.UnregisterMetric(labels.series())
			delete(m.counters, labels)
		}
	}
}

// customerTotal is the number of requests of a customer on this instance.
type customerTotal struct {
	name     fleet.Customer
	requests uint64
	refused  uint64
}

// largest returns the customers with the most requests since the start of the process.
func (m *customerMetrics) largest(limit int) []customerTotal {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := make([]customerTotal, 0, len(m.counts))
	for name, c := range m.counts {
		totals = append(totals, customerTotal{name: name, requests: c.requests, refused: c.refused})
	}
	slices.SortFunc(totals, func(a, b customerTotal) int {
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(a.name, b.name))
	})
	return totals[:min(len(totals), limit)]
}

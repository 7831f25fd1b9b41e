package platform

import (
	"sync"
	"time"
)

const (
	// meterSeconds is how far back the rate of calls is kept; it exceeds the
	// longest watch.
	meterSeconds = 128
	// rateSeconds is over how many whole seconds the rate is averaged.
	rateSeconds = 5
)

// Stats is what the platform counted.
type Stats struct {
	ConfigReads   int `json:"config_reads"`
	ConfigWatches int `json:"config_watches"`
	ListReads     int `json:"list_reads"`
	ListWatches   int `json:"list_watches"`
	// Pending counts the watches that are held now.
	Pending int `json:"pending"`
	// CallsPerSecond is the mean over the last 5 whole seconds; a pending
	// watch counts once in each second.
	CallsPerSecond float64 `json:"calls_per_second"`
	// PeakCallsPerSecond is the highest whole second since the start.
	PeakCallsPerSecond int `json:"peak_calls_per_second"`
}

// meter counts calls by kind and second.
type meter struct {
	mu      sync.Mutex
	start   time.Time
	stats   Stats
	second  int
	current int
	whole   []int
}

func newMeter(now time.Time) *meter { return &meter{start: now} }

// begin counts a call.
func (m *meter) begin(now time.Time, v ValueKind, watch bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	m.current++
	switch {
	case v == Config && watch:
		m.stats.ConfigWatches++
	case v == Config:
		m.stats.ConfigReads++
	case watch:
		m.stats.ListWatches++
	default:
		m.stats.ListReads++
	}
	if watch {
		m.stats.Pending++
	}
}

// end counts the end of a watch.
func (m *meter) end(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	m.stats.Pending--
}

// read returns the counts.
func (m *meter) read(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	stats := m.stats
	recent := m.whole[max(0, len(m.whole)-rateSeconds):]
	sum := 0
	for _, n := range recent {
		sum += n
	}
	if len(recent) > 0 {
		stats.CallsPerSecond = float64(sum) / float64(len(recent))
	}
	return stats
}

// roll closes the seconds that have passed. Watches that are pending at the
// start of a second count in it; the lock is held.
func (m *meter) roll(now time.Time) {
	second := int(now.Sub(m.start) / time.Second)
	for m.second < second {
		m.whole = append(m.whole, m.current)
		m.stats.PeakCallsPerSecond = max(m.stats.PeakCallsPerSecond, m.current)
		m.current = m.stats.Pending
		m.second++
	}
	if len(m.whole) > meterSeconds {
		m.whole = append([]int(nil), m.whole[len(m.whole)-rateSeconds:]...)
	}
}

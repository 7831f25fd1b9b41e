package platform

import (
	"sync"
	"time"
)

const (
	// maxKeptSeconds is the maximum number of seconds for which counts are kept.
	// It exceeds the duration of the longest watch.
	maxKeptSeconds = 128
	// averagedSeconds is the number of whole seconds over which the call rate is
	// averaged.
	averagedSeconds = 5
)

// Stats holds the call counts and call rates of a platform since its start.
type Stats struct {
	ConfigReads   int `json:"config_reads"`
	ConfigWatches int `json:"config_watches"`
	ListReads     int `json:"list_reads"`
	ListWatches   int `json:"list_watches"`
	// Pending is the number of watches without a response so far.
	Pending int `json:"pending"`
	// CallsPerSecond is the mean over the last 5 whole seconds. A pending watch
	// counts once in each second.
	CallsPerSecond float64 `json:"calls_per_second"`
	// PeakCallsPerSecond is the highest count of a whole second since the start.
	PeakCallsPerSecond int `json:"peak_calls_per_second"`
}

// callMeter counts calls by kind and by second.
type callMeter struct {
	mu        sync.Mutex
	startedAt time.Time
	stats     Stats
	// currentSecond is the number of whole seconds since startedAt, and
	// currentCalls the count of the second that has not ended.
	currentSecond int
	currentCalls  int
	// callsInSecond holds the counts of the latest whole seconds, oldest first.
	callsInSecond []int
}

func newCallMeter(now time.Time) *callMeter { return &callMeter{startedAt: now} }

// startCall counts a call and, if it is a watch, marks it as pending.
func (m *callMeter) startCall(now time.Time, kind ValueKind, watch bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.currentCalls++
	switch {
	case kind == Config && watch:
		m.stats.ConfigWatches++
	case kind == Config:
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

// endWatch marks one watch as no longer pending.
func (m *callMeter) endWatch(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.stats.Pending--
}

// snapshot returns the counts and rates at the given time.
func (m *callMeter) snapshot(now time.Time) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	stats := m.stats
	recent := m.callsInSecond[max(0, len(m.callsInSecond)-averagedSeconds):]
	sum := 0
	for _, n := range recent {
		sum += n
	}
	if len(recent) > 0 {
		stats.CallsPerSecond = float64(sum) / float64(len(recent))
	}
	return stats
}

// advance completes the counts of the seconds that have passed. A watch that is
// pending at the start of a second counts as a call in it. The caller holds the
// lock.
func (m *callMeter) advance(now time.Time) {
	nowSecond := int(now.Sub(m.startedAt) / time.Second)
	for m.currentSecond < nowSecond {
		m.callsInSecond = append(m.callsInSecond, m.currentCalls)
		m.stats.PeakCallsPerSecond = max(m.stats.PeakCallsPerSecond, m.currentCalls)
		m.currentCalls = m.stats.Pending
		m.currentSecond++
	}
	if len(m.callsInSecond) > maxKeptSeconds {
		m.callsInSecond = append([]int(nil), m.callsInSecond[len(m.callsInSecond)-averagedSeconds:]...)
	}
}

package retry

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// Quota bounds the repeats of a service in any span of time.
type Quota struct {
	// Ratio is the share of the first attempts that may be repeated.
	Ratio float64
	// Allowance is the number of repeats on top.
	Allowance float64
	// Span is the length of the window.
	Span time.Duration
}

// buckets is the number of parts of a window.
const buckets = 20

// Window limits repeats to a quota over a sliding window. All methods may be
// called concurrently.
type Window struct {
	mu     sync.Mutex
	quota  Quota
	firsts [buckets]int
	// repeats has one more bucket, so that a repeat counts for at least a span.
	repeats [buckets + 1]int
	ticks   fleet.PeriodCounter
	tick    int64
}

// NewWindow returns a window without attempts.
func NewWindow(quota Quota) *Window { return &Window{quota: quota} }

// SetQuota changes the quota, as when the number of instances changes.
func (w *Window) SetQuota(quota Quota) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quota.Ratio, w.quota.Allowance = quota.Ratio, quota.Allowance
}

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.firsts[w.tick%buckets]++
}

// TryRepeat records a repeat if the quota has room for it, and reports whether it
// has.
func (w *Window) TryRepeat(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if float64(sum(w.repeats[:])+1) > w.limit() {
		return false
	}
	w.repeats[w.tick%(buckets+1)]++
	return true
}

// RemainingRepeats returns the number of repeats that the quota has room for.
func (w *Window) RemainingRepeats(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.limit() - float64(sum(w.repeats[:]))
}

func (w *Window) limit() float64 {
	return w.quota.Ratio*float64(sum(w.firsts[:])) + w.quota.Allowance
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	tick := w.ticks.PeriodNumber(now, w.quota.Span/buckets)
	if tick <= w.tick {
		return
	}
	steps := min(tick-w.tick, buckets+1)
	for i := tick - steps + 1; i <= tick; i++ {
		w.firsts[i%buckets] = 0
		w.repeats[i%(buckets+1)] = 0
	}
	w.tick = tick
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

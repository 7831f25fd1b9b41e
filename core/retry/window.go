package retry

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// Quota limits the repeats (retries and hedges) of a service in any span of time.
type Quota struct {
	// Ratio is the number of repeats allowed per first attempt.
	Ratio float64
	// Allowance is the number of repeats allowed in addition.
	Allowance float64
	// Span is the length of the window.
	Span time.Duration
}

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 20

// Window limits repeats to a quota over a sliding window. It is safe for concurrent
// use.
type Window struct {
	mu            sync.Mutex
	quota         Quota
	firstAttempts [windowBuckets]int
	// repeats has one more bucket, so that a repeat counts for at least a whole span.
	repeats    [windowBuckets + 1]int
	periods    fleet.PeriodCounter
	lastPeriod int64
}

// NewWindow returns a window that has counted no attempts.
func NewWindow(quota Quota) *Window { return &Window{quota: quota} }

// SetQuota changes the ratio and the allowance, for example after a change of the
// number of instances. The span stays.
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
	w.firstAttempts[w.lastPeriod%windowBuckets]++
}

// TryRepeat records a repeat if the quota allows it, and reports whether it does.
func (w *Window) TryRepeat(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if float64(sum(w.repeats[:])+1) > w.maxRepeats() {
		return false
	}
	w.repeats[w.lastPeriod%(windowBuckets+1)]++
	return true
}

// RemainingRepeats returns the number of repeats that the quota still allows. It may
// be negative or fractional.
func (w *Window) RemainingRepeats(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.maxRepeats() - float64(sum(w.repeats[:]))
}

func (w *Window) maxRepeats() float64 {
	return w.quota.Ratio*float64(sum(w.firstAttempts[:])) + w.quota.Allowance
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	period := w.periods.PeriodNumber(now, w.quota.Span/windowBuckets)
	if period <= w.lastPeriod {
		return
	}
	steps := min(period-w.lastPeriod, windowBuckets+1)
	for i := period - steps + 1; i <= period; i++ {
		w.firstAttempts[i%windowBuckets] = 0
		w.repeats[i%(windowBuckets+1)] = 0
	}
	w.lastPeriod = period
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

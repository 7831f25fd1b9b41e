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

const (
	// windowBuckets is the number of buckets that a window is divided into.
	windowBuckets = 40
	// firstAttemptBuckets is the number of buckets of first attempts: the repeats of a window
	// are compared with the first attempts of this window, of the one before it, or of the
	// one half a window before it.
	firstAttemptBuckets = 2 * windowBuckets
	// demandBuckets is the number of recent buckets from which the demand for repeats is
	// taken.
	demandBuckets = 4
	// maxPriorities is the number of distinct priorities; higher values count as the last
	// one.
	maxPriorities = 8
)

// Window limits repeats to a quota over a sliding window, and keeps a part of the quota
// for the more urgent ones. It is safe for concurrent use.
type Window struct {
	mu            sync.Mutex
	quota         Quota
	firstAttempts [firstAttemptBuckets]int
	// repeats and demand hold the repeats that were allowed and those that were asked for,
	// by priority. repeats has one more bucket, so that a repeat counts for at least a whole
	// span.
	repeats    [maxPriorities][windowBuckets + 1]int
	demand     [maxPriorities][demandBuckets + 1]int
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
	w.firstAttempts[w.lastPeriod%firstAttemptBuckets]++
}

// TryRepeat records a repeat if the quota allows it, and reports whether it does. Priority
// 0 is the most urgent.
func (w *Window) TryRepeat(now time.Time, priority int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	priority = min(max(priority, 0), maxPriorities-1)
	w.demand[priority][w.lastPeriod%(demandBuckets+1)]++
	if w.remaining()-w.reservedFor(priority) < 1 {
		return false
	}
	w.repeats[priority][w.lastPeriod%(windowBuckets+1)]++
	return true
}

// RemainingRepeats returns the number of repeats that the quota still allows to requests
// of a priority. It may be negative or fractional.
func (w *Window) RemainingRepeats(now time.Time, priority int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.remaining() - w.reservedFor(min(max(priority, 0), maxPriorities-1))
}

// remaining returns the number of repeats that may be made now, so that no window that
// contains them has more than its first attempts allow. First attempts to come are not
// known and not counted.
func (w *Window) remaining() float64 {
	// repeatsUpTo[k] and firstUpTo[k] are the sums of the k latest buckets.
	var repeatsUpTo [windowBuckets + 2]int
	var firstUpTo [firstAttemptBuckets + 1]int
	for k := range windowBuckets + 1 {
		total := 0
		for priority := range w.repeats {
			total += w.repeats[priority][index(w.lastPeriod-int64(k), windowBuckets+1)]
		}
		repeatsUpTo[k+1] = repeatsUpTo[k] + total
	}
	for k := range firstAttemptBuckets {
		firstUpTo[k+1] = firstUpTo[k] + w.firstAttempts[index(w.lastPeriod-int64(k), firstAttemptBuckets)]
	}
	// between returns the first attempts of the buckets from k on and before end, 0 for the
	// current one.
	between := func(k, end int) int {
		if end <= max(k, 0) {
			return 0
		}
		return firstUpTo[end] - firstUpTo[max(k, 0)]
	}
	least := 0.0
	for ahead := range windowBuckets {
		// A window that ends in this number of buckets contains all repeats of the latest
		// windowBuckets-ahead+1 buckets at most, and all first attempts of two buckets less
		// at least.
		most := max(
			between(0, windowBuckets-ahead-1),
			between(windowBuckets/2+1-ahead, windowBuckets+windowBuckets/2-ahead-1),
			between(windowBuckets+1-ahead, 2*windowBuckets-ahead-1),
		)
		left := w.quota.Ratio*float64(most) + w.quota.Allowance - float64(repeatsUpTo[windowBuckets-ahead+1])
		if ahead == 0 || left < least {
			least = left
		}
	}
	return least
}

// reservedFor returns the number of repeats that requests of a priority leave to the more
// urgent ones: what those will ask for in a span at the current rate, without what they
// have got. A repeat that is made now is missing for a whole span.
func (w *Window) reservedFor(priority int) float64 {
	reserved := 0.0
	for urgent := range priority {
		asked := 0
		for k := range demandBuckets {
			asked += w.demand[urgent][index(w.lastPeriod-int64(k), demandBuckets+1)]
		}
		if asked > 0 {
			reserved += max(float64(asked)*windowBuckets/demandBuckets-float64(sum(w.repeats[urgent][:])), 0)
		}
	}
	return reserved
}

// index returns the index of the bucket of a period.
func index(period int64, buckets int64) int64 { return (period%buckets + buckets) % buckets }

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	period := w.periods.PeriodNumber(now, w.quota.Span/windowBuckets)
	if period <= w.lastPeriod {
		return
	}
	steps := min(period-w.lastPeriod, firstAttemptBuckets)
	for i := period - steps + 1; i <= period; i++ {
		w.firstAttempts[i%firstAttemptBuckets] = 0
		for priority := range w.repeats {
			w.repeats[priority][i%(windowBuckets+1)] = 0
			w.demand[priority][i%(demandBuckets+1)] = 0
		}
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

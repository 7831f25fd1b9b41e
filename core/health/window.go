package health

import "time"

const (
	// bucketDuration is the time span of one bucket of a window.
	bucketDuration = 100 * time.Millisecond
	// windowBuckets is the number of buckets of a window. They cover 3 s, the
	// longest time that detection may take.
	windowBuckets = 30
)

// attemptCounts counts ended attempts by result and latency.
type attemptCounts struct {
	succeeded int
	failed    int
	// timedOut is the number of attempts among failed that ended by their deadline.
	timedOut int
	// latencyCount is the number of latencies in the histogram.
	latencyCount int
	latencies    histogram
}

func (c *attemptCounts) add(other *attemptCounts) {
	c.succeeded += other.succeeded
	c.failed += other.failed
	c.timedOut += other.timedOut
	c.latencyCount += other.latencyCount
	c.latencies.add(&other.latencies)
}

// subtract removes counts that were added before.
func (c *attemptCounts) subtract(other *attemptCounts) {
	c.succeeded -= other.succeeded
	c.failed -= other.failed
	c.timedOut -= other.timedOut
	c.latencyCount -= other.latencyCount
	c.latencies = c.latencies.diffFrom(&other.latencies)
}

// total returns the number of attempts that are evidence for or against a
// server.
func (c *attemptCounts) total() int { return c.succeeded + c.failed }

// window is a sliding window over the attempts of the last windowBuckets *
// bucketDuration.
type window struct {
	buckets [windowBuckets]attemptCounts
	sum     attemptCounts
	// newest is the number of the newest bucket, counted from the start of the
	// detector.
	newest int64
}

// add adds attempts that ended at an offset from the start of the detector.
func (w *window) add(offset time.Duration, counts *attemptCounts) {
	w.advance(offset)
	if counts.total() == 0 && counts.latencyCount == 0 {
		return
	}
	w.buckets[w.newest%windowBuckets].add(counts)
	w.sum.add(counts)
}

// advance moves the window to an offset and removes older buckets.
func (w *window) advance(offset time.Duration) {
	number := int64(offset / bucketDuration)
	if number-w.newest >= windowBuckets {
		w.clear()
		w.newest = number
		return
	}
	for w.newest < number {
		w.newest++
		oldest := &w.buckets[w.newest%windowBuckets]
		w.sum.subtract(oldest)
		*oldest = attemptCounts{}
	}
}

func (w *window) clear() {
	w.buckets = [windowBuckets]attemptCounts{}
	w.sum = attemptCounts{}
}

// latestCounts returns the sum, without latencies, over the fewest newest buckets
// that hold count attempts, or over the whole window if it holds fewer.
func (w *window) latestCounts(count int) attemptCounts {
	var sum attemptCounts
	for back := range int64(windowBuckets) {
		if w.newest < back || sum.total() >= count {
			break
		}
		bucket := &w.buckets[(w.newest-back)%windowBuckets]
		sum.succeeded += bucket.succeeded
		sum.failed += bucket.failed
	}
	return sum
}

// latestLatencies returns the latencies of the fewest newest buckets that hold
// count latencies and number at least minBuckets, not counting empty buckets. It
// also returns the medians of these buckets.
func (w *window) latestLatencies(count, minBuckets int) (histogram, []time.Duration) {
	var sum histogram
	medians := make([]time.Duration, 0, windowBuckets)
	collected := 0
	for back := range int64(windowBuckets) {
		if w.newest < back || collected >= count && len(medians) >= minBuckets {
			break
		}
		bucket := &w.buckets[(w.newest-back)%windowBuckets]
		if bucket.latencyCount == 0 {
			continue
		}
		sum.add(&bucket.latencies)
		collected += bucket.latencyCount
		medians = append(medians, bucket.latencies.quantile(0.5))
	}
	return sum, medians
}

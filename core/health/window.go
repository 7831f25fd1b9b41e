package health

import "time"

const (
	// windowSpan is the time that one bucket of a window covers.
	windowSpan = 100 * time.Millisecond
	// windowBuckets covers 3 s, the longest time that detection may take.
	windowBuckets = 30
)

// tally counts attempts that ended.
type tally struct {
	succeeded int
	failed    int
	// timedOut is the part of failed that ended by their deadline.
	timedOut int
	// timed counts the latencies.
	timed     int
	latencies histogram
}

// add adds the counts of other.
func (t *tally) add(other *tally) {
	t.succeeded += other.succeeded
	t.failed += other.failed
	t.timedOut += other.timedOut
	t.timed += other.timed
	t.latencies.add(&other.latencies)
}

// subtract removes counts that were added before.
func (t *tally) subtract(other *tally) {
	t.succeeded -= other.succeeded
	t.failed -= other.failed
	t.timedOut -= other.timedOut
	t.timed -= other.timed
	t.latencies = t.latencies.since(&other.latencies)
}

// attempts returns the number of attempts that say something about a server.
func (t *tally) attempts() int { return t.succeeded + t.failed }

// window keeps the attempts of the last windowBuckets * windowSpan.
type window struct {
	buckets [windowBuckets]tally
	// sum is the sum over the buckets.
	sum tally
	// head is the number of the newest bucket, counted from the state's start.
	head int64
}

// record adds attempts that ended at an offset from the state's start.
func (w *window) record(offset time.Duration, t *tally) {
	w.advance(offset)
	if t.attempts() == 0 && t.timed == 0 {
		return
	}
	w.buckets[w.head%windowBuckets].add(t)
	w.sum.add(t)
}

// advance drops buckets that are too old.
func (w *window) advance(offset time.Duration) {
	number := int64(offset / windowSpan)
	if number-w.head >= windowBuckets {
		w.clear()
		w.head = number
		return
	}
	for w.head < number {
		w.head++
		oldest := &w.buckets[w.head%windowBuckets]
		w.sum.subtract(oldest)
		*oldest = tally{}
	}
}

// clear forgets all attempts.
func (w *window) clear() {
	w.buckets = [windowBuckets]tally{}
	w.sum = tally{}
}

// latest counts the newest attempts, without latencies: as few buckets as
// hold count of them, or the whole window if it holds fewer.
func (w *window) latest(count int) tally {
	var sum tally
	for back := range int64(windowBuckets) {
		if w.head < back || sum.attempts() >= count {
			break
		}
		bucket := &w.buckets[(w.head-back)%windowBuckets]
		sum.succeeded += bucket.succeeded
		sum.failed += bucket.failed
	}
	return sum
}

// latestLatencies returns the newest latencies: as few buckets as hold count
// of them and number at least spread, without empty ones. It also returns the
// medians of these buckets.
func (w *window) latestLatencies(count, spread int) (histogram, []time.Duration) {
	var sum histogram
	medians := make([]time.Duration, 0, windowBuckets)
	found := 0
	for back := range int64(windowBuckets) {
		if w.head < back || found >= count && len(medians) >= spread {
			break
		}
		bucket := &w.buckets[(w.head-back)%windowBuckets]
		if bucket.timed == 0 {
			continue
		}
		sum.add(&bucket.latencies)
		found += bucket.timed
		medians = append(medians, bucket.latencies.quantile(0.5))
	}
	return sum, medians
}

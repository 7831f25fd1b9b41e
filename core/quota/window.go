package quota

import "time"

// window counts events in a sliding window. It has one bucket more than the window, so
// that an event counts for at least the whole window.
type window struct {
	counts [windowBuckets + 1]uint32
	sum    uint32
	last   int64
}

// advance clears the buckets that have left the window.
func (w *window) advance(bucket int64) {
	if bucket <= w.last {
		return
	}
	for i := max(w.last+1, bucket-windowBuckets); i <= bucket; i++ {
		w.sum -= w.counts[i%(windowBuckets+1)]
		w.counts[i%(windowBuckets+1)] = 0
	}
	w.last = bucket
}

// add counts n events now.
func (w *window) add(n uint32) {
	w.counts[w.last%(windowBuckets+1)] += n
	w.sum += n
}

// spread counts n events evenly in a number of buckets up to the given one.
func (w *window) spread(n uint32, last, buckets int64) {
	last = max(last, 0)
	buckets = min(buckets, last+1)
	for i := range buckets {
		part := n / uint32(buckets-i)
		n -= part
		w.counts[(last-(buckets-1-i))%(windowBuckets+1)] += part
		w.sum += part
	}
}

// takeBack removes the latest event, if there is one.
func (w *window) takeBack() bool {
	for i := w.last; i >= max(w.last-windowBuckets, 0); i-- {
		if w.counts[i%(windowBuckets+1)] > 0 {
			w.counts[i%(windowBuckets+1)]--
			w.sum--
			return true
		}
	}
	return false
}

// parts returns the events in parts of the window, from the oldest to the latest.
func (w *window) parts() []uint32 {
	parts := make([]uint32, ProfileParts)
	for i := range int64(windowBuckets + 1) {
		if bucket := w.last - windowBuckets + i; bucket >= 0 {
			parts[max(i-1, 0)*ProfileParts/windowBuckets] += w.counts[bucket%(windowBuckets+1)]
		}
	}
	return parts
}

// since returns the number of events in a bucket and the later ones.
func (w *window) since(bucket int64) uint32 {
	if bucket <= w.last-windowBuckets {
		return w.sum
	}
	total := uint32(0)
	for i := bucket; i <= w.last; i++ {
		total += w.counts[i%(windowBuckets+1)]
	}
	return total
}

// bucketer converts times to numbers of buckets by the monotonic clock.
type bucketer struct {
	origin time.Time
	length time.Duration
}

// bucket returns the number of the bucket of a time; times before the origin have 0.
func (b bucketer) bucket(at time.Time) int64 {
	if b.length <= 0 {
		return 0
	}
	return max(int64(at.Sub(b.origin)/b.length), 0)
}

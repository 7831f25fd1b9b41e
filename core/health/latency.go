package health

import (
	"math"
	"math/bits"
	"time"
)

const (
	// latencyBuckets spans 0.25 ms to 11 s in steps of the square root of two,
	// fine enough to tell a factor of two between two medians.
	latencyBuckets = 32
	// latencyUnit is the upper bound of the first bucket.
	latencyUnit = 250 * time.Microsecond
	// halfStep is the square root of two in units of 2^-16.
	halfStep = 92682
)

// histogram counts latencies in logarithmic buckets.
type histogram [latencyBuckets]uint32

// bucketOf returns the index of the bucket for a latency.
func bucketOf(latency time.Duration) int {
	units := uint64(max(latency, 0)) << 16 / uint64(latencyUnit)
	whole := bits.Len64(units >> 16)
	if whole == 0 {
		return 0
	}
	index := 2*whole - 1
	if units>>(whole-1) >= halfStep {
		index++
	}
	return min(index, latencyBuckets-1)
}

// bucketStarts holds the smallest latency of each bucket, and the end of the
// last one.
var bucketStarts = func() [latencyBuckets + 1]time.Duration {
	var starts [latencyBuckets + 1]time.Duration
	for i := 1; i <= latencyBuckets; i++ {
		starts[i] = time.Duration(float64(latencyUnit) * math.Pow(math.Sqrt2, float64(i-1)))
	}
	return starts
}()

// add adds the counts of other.
func (h *histogram) add(other *histogram) {
	for i, n := range other {
		h[i] += n
	}
}

// halve halves all counts, so that old latencies lose their influence.
func (h *histogram) halve() {
	for i := range h {
		h[i] /= 2
	}
}

// since returns the counts that were added after an earlier copy.
func (h *histogram) since(earlier *histogram) histogram {
	var diff histogram
	for i := range h {
		diff[i] = h[i] - earlier[i]
	}
	return diff
}

// total returns the number of latencies.
func (h *histogram) total() int {
	sum := 0
	for _, n := range h {
		sum += int(n)
	}
	return sum
}

// quantile estimates the latency below which the share q of all lies; zero
// if there are none.
func (h *histogram) quantile(q float64) time.Duration {
	rank := q * float64(h.total())
	if rank == 0 {
		return 0
	}
	below := 0.0
	for i, n := range h {
		if n > 0 && below+float64(n) >= rank {
			start := bucketStarts[i]
			width := bucketStarts[i+1] - start
			return start + time.Duration(float64(width)*(rank-below)/float64(n))
		}
		below += float64(n)
	}
	return bucketStarts[latencyBuckets]
}

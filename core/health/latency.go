package health

import (
	"math"
	"math/bits"
	"time"
)

const (
	// latencyBuckets is the number of buckets of a histogram. They cover 0.25 ms to
	// 11 s in steps of the square root of two, fine enough to detect a factor of
	// two between two medians.
	latencyBuckets = 32
	// latencyUnit is the upper bound of the first bucket.
	latencyUnit = 250 * time.Microsecond
	// scaledSqrt2 is the square root of two in fixed point with 16 fraction bits.
	scaledSqrt2 = 92682
)

// histogram counts latencies in logarithmic buckets.
type histogram [latencyBuckets]uint32

// bucketOf returns the index of the bucket for a latency.
func bucketOf(latency time.Duration) int {
	units := uint64(max(latency, 0)) << 16 / uint64(latencyUnit)
	bitLength := bits.Len64(units >> 16)
	if bitLength == 0 {
		return 0
	}
	index := 2*bitLength - 1
	if units>>(bitLength-1) >= scaledSqrt2 {
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

func (h *histogram) add(other *histogram) {
	for i, n := range other {
		h[i] += n
	}
}

// halveCounts halves all counts, so that old latencies lose weight.
func (h *histogram) halveCounts() {
	for i := range h {
		h[i] /= 2
	}
}

// diffFrom returns the counts that were added since an earlier copy.
func (h *histogram) diffFrom(earlier *histogram) histogram {
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

// quantile estimates the latency that the given share of all latencies does not
// exceed; zero if there are none.
func (h *histogram) quantile(share float64) time.Duration {
	rank := share * float64(h.total())
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

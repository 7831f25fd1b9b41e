package health

import (
	"sync/atomic"
	"time"
)

// MaxTimedSlots is the number of slots of a server whose attempts in flight are
// timed; deployments use 2 and 4.
const MaxTimedSlots = 8

// recentLatencyWeight is the inverse weight of a new latency in the moving
// average.
const recentLatencyWeight = 16

// Counters counts the attempts of traffic goroutines on one server. All methods
// may be called concurrently. At most one attempt uses a slot at a time.
type Counters struct {
	baseTime      time.Time
	started       atomic.Uint64
	succeeded     atomic.Uint64
	failed        atomic.Uint64
	timedOut      atomic.Uint64
	timedOutTime  atomic.Int64
	canceled      atomic.Uint64
	refused       atomic.Uint64
	totalLatency  atomic.Int64
	recentLatency atomic.Int64
	// lastSuccess is the offset of the latest success from baseTime in ns.
	lastSuccess atomic.Int64
	// startOffsets holds the start of the attempt on each slot, as an offset from
	// baseTime; zero means that the slot is free, so offsets start at 1 ns.
	startOffsets [MaxTimedSlots]atomic.Int64
	buckets      [latencyBuckets]atomic.Uint32
}

// NewCounters returns counters at zero that start now.
func NewCounters(now time.Time) *Counters {
	return &Counters{baseTime: now}
}

// offset returns the time since baseTime in ns, at least 1.
func (c *Counters) offset(now time.Time) int64 {
	return max(int64(now.Sub(c.baseTime)), 1)
}

// Start records the start of an attempt on a slot of the server. Attempts on
// slots from MaxTimedSlots on are counted but not timed.
func (c *Counters) Start(slot int, now time.Time) {
	c.started.Add(1)
	if slot >= 0 && slot < MaxTimedSlots {
		c.startOffsets[slot].Store(c.offset(now))
	}
}

// Finish records the end and the result of the attempt on a slot.
func (c *Counters) Finish(slot int, now time.Time, result Result) {
	var startOffset int64
	if slot >= 0 && slot < MaxTimedSlots {
		startOffset = c.startOffsets[slot].Swap(0)
	}
	switch result {
	case Succeeded:
		c.succeed(startOffset, c.offset(now))
	case Failed:
		c.failed.Add(1)
	case TimedOut:
		c.timedOut.Add(1)
		if startOffset > 0 {
			c.timedOutTime.Add(max(c.offset(now)-startOffset, 0))
		}
	case Canceled:
		c.canceled.Add(1)
	case Refused:
		c.refused.Add(1)
	}
}

// succeed records a success; startOffset is zero if the attempt was not timed.
func (c *Counters) succeed(startOffset, endOffset int64) {
	c.succeeded.Add(1)
	c.lastSuccess.Store(endOffset)
	if startOffset == 0 {
		return
	}
	latency := max(endOffset-startOffset, 0)
	c.totalLatency.Add(latency)
	c.buckets[bucketOf(time.Duration(latency))].Add(1)
	for {
		old := c.recentLatency.Load()
		next := old + (latency-old)/recentLatencyWeight
		if old == 0 {
			next = latency
		}
		if c.recentLatency.CompareAndSwap(old, next) {
			return
		}
	}
}

// Snapshot is a copy of the counters of one server. Totals count from the
// start of the counters.
type Snapshot struct {
	Started   uint64
	Succeeded uint64
	Failed    uint64
	TimedOut  uint64
	// TimedOutTime is the sum of the durations of attempts that timed out.
	TimedOutTime time.Duration
	Canceled     uint64
	Refused      uint64
	// TotalLatency is the sum of the latencies of succeeded attempts.
	TotalLatency time.Duration
	// RecentLatency is a moving average of the latencies of succeeded attempts.
	RecentLatency time.Duration
	InFlight      int
	// InFlightAges holds the age of the attempt in flight on each slot; zero means
	// that the slot is free.
	InFlightAges [MaxTimedSlots]time.Duration
	// SinceSuccess is the time since the latest success, or since the start of the
	// counters if there was none.
	SinceSuccess time.Duration
	latencies    histogram
}

// Snapshot returns the current values. They are not read atomically: an attempt
// that ends meanwhile may be counted in only some of them.
func (c *Counters) Snapshot(now time.Time) Snapshot {
	offset := c.offset(now)
	s := Snapshot{
		Started:       c.started.Load(),
		Succeeded:     c.succeeded.Load(),
		Failed:        c.failed.Load(),
		TimedOut:      c.timedOut.Load(),
		TimedOutTime:  time.Duration(c.timedOutTime.Load()),
		Canceled:      c.canceled.Load(),
		Refused:       c.refused.Load(),
		TotalLatency:  time.Duration(c.totalLatency.Load()),
		RecentLatency: time.Duration(c.recentLatency.Load()),
		SinceSuccess:  time.Duration(max(offset-c.lastSuccess.Load(), 0)),
	}
	for i := range c.startOffsets {
		startOffset := c.startOffsets[i].Load()
		if startOffset == 0 {
			continue
		}
		s.InFlight++
		s.InFlightAges[i] = time.Duration(max(offset-startOffset, 1))
	}
	for i := range c.buckets {
		s.latencies[i] = c.buckets[i].Load()
	}
	return s
}

// OldestInFlight returns the age of the oldest attempt in flight; zero if there
// is none.
func (s *Snapshot) OldestInFlight() time.Duration {
	oldest := time.Duration(0)
	for _, age := range s.InFlightAges {
		oldest = max(oldest, age)
	}
	return oldest
}

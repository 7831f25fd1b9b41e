package health

import (
	"sync/atomic"
	"time"
)

// MaxTimedSlots is the largest number of slots whose attempts in flight Counters
// can time; deployments use 2 and 4.
const MaxTimedSlots = 8

// recentWeight is the inverse weight of one latency in the moving average.
const recentWeight = 16

// Counters holds what traffic goroutines record about one server. All methods
// may be called concurrently. At most one attempt uses a slot at a time.
type Counters struct {
	base      time.Time
	started   atomic.Uint64
	succeeded atomic.Uint64
	failed    atomic.Uint64
	timedOut  atomic.Uint64
	overrun   atomic.Int64
	canceled  atomic.Uint64
	refused   atomic.Uint64
	latency   atomic.Int64
	recent    atomic.Int64
	// success is the offset from base of the latest success.
	success atomic.Int64
	// begun holds the offset from base of the attempt on each slot; zero means
	// that the slot is free, so offsets start at 1.
	begun   [MaxTimedSlots]atomic.Int64
	buckets [latencyBuckets]atomic.Uint32
}

// NewCounters returns counters whose times count from now.
func NewCounters(now time.Time) *Counters {
	return &Counters{base: now}
}

// offset returns the time since base, at least 1 ns.
func (c *Counters) offset(now time.Time) int64 {
	return max(int64(now.Sub(c.base)), 1)
}

// Start records that an attempt began on a slot of the server. A slot that is
// not below MaxSlots is counted but not timed.
func (c *Counters) Start(slot int, now time.Time) {
	c.started.Add(1)
	if slot >= 0 && slot < MaxTimedSlots {
		c.begun[slot].Store(c.offset(now))
	}
}

// Finish records how the attempt on a slot ended.
func (c *Counters) Finish(slot int, now time.Time, result Result) {
	var begun int64
	if slot >= 0 && slot < MaxTimedSlots {
		begun = c.begun[slot].Swap(0)
	}
	switch result {
	case Succeeded:
		c.succeed(begun, c.offset(now))
	case Failed:
		c.failed.Add(1)
	case TimedOut:
		c.timedOut.Add(1)
		if begun > 0 {
			c.overrun.Add(max(c.offset(now)-begun, 0))
		}
	case Canceled:
		c.canceled.Add(1)
	case Refused:
		c.refused.Add(1)
	}
}

// succeed records a success; begun is zero if the attempt was not timed.
func (c *Counters) succeed(begun, ended int64) {
	c.succeeded.Add(1)
	c.success.Store(ended)
	if begun == 0 {
		return
	}
	took := max(ended-begun, 0)
	c.latency.Add(took)
	c.buckets[bucketOf(time.Duration(took))].Add(1)
	for {
		old := c.recent.Load()
		next := old + (took-old)/recentWeight
		if old == 0 {
			next = took
		}
		if c.recent.CompareAndSwap(old, next) {
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
	// TimedOutTime is the sum of the times after which attempts timed out.
	TimedOutTime time.Duration
	Canceled     uint64
	Refused      uint64
	// TotalLatency is the sum over succeeded attempts.
	TotalLatency time.Duration
	// RecentLatency is a moving average over succeeded attempts.
	RecentLatency time.Duration
	InFlight      int
	// InFlightAges holds the age of the attempt in flight on each slot; zero means that
	// the slot is free.
	InFlightAges [MaxTimedSlots]time.Duration
	// SinceSuccess is the time since an attempt last succeeded, or since the start of
	// the counters.
	SinceSuccess time.Duration
	latencies    histogram
}

// Snapshot returns the current values. Attempts that end meanwhile may be
// counted in some values and not yet in others.
func (c *Counters) Snapshot(now time.Time) Snapshot {
	at := c.offset(now)
	s := Snapshot{
		Started:       c.started.Load(),
		Succeeded:     c.succeeded.Load(),
		Failed:        c.failed.Load(),
		TimedOut:      c.timedOut.Load(),
		TimedOutTime:  time.Duration(c.overrun.Load()),
		Canceled:      c.canceled.Load(),
		Refused:       c.refused.Load(),
		TotalLatency:  time.Duration(c.latency.Load()),
		RecentLatency: time.Duration(c.recent.Load()),
		SinceSuccess:  time.Duration(max(at-c.success.Load(), 0)),
	}
	for i := range c.begun {
		begun := c.begun[i].Load()
		if begun == 0 {
			continue
		}
		s.InFlight++
		s.InFlightAges[i] = time.Duration(max(at-begun, 1))
	}
	for i := range c.buckets {
		s.latencies[i] = c.buckets[i].Load()
	}
	return s
}

// OldestInFlight returns the age of the oldest attempt in flight; zero if there is
// none.
func (s *Snapshot) OldestInFlight() time.Duration {
	oldest := time.Duration(0)
	for _, age := range s.InFlightAges {
		oldest = max(oldest, age)
	}
	return oldest
}

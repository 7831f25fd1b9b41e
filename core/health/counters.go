package health

import (
	"time"
)

// MaxSlots is the largest number of slots that Counters tracks for a server;
// deployments use 2 and 4.
const MaxSlots = 8

// Counters holds what traffic goroutines record about one server. All methods
// may be called concurrently.
type Counters struct{}

// NewCounters returns counters whose times count from now.
func NewCounters(now time.Time) *Counters { return &Counters{} }

// Start records that an attempt began on a slot of the server.
func (c *Counters) Start(slot int, now time.Time) {}

// Finish records how the attempt on a slot ended.
func (c *Counters) Finish(slot int, now time.Time, result Result) {}

// Snapshot returns the current values.
func (c *Counters) Snapshot(now time.Time) Snapshot { return Snapshot{} }

// Snapshot is a copy of the counters of one server. Totals count from the
// start of the counters.
type Snapshot struct {
	Started   uint64
	Succeeded uint64
	Failed    uint64
	Canceled  uint64
	Refused   uint64
	// Latency is the sum over succeeded attempts.
	Latency time.Duration
	// Recent is a moving average over succeeded attempts.
	Recent   time.Duration
	InFlight int
	// Oldest is the age of the oldest attempt in flight; zero if there is none.
	Oldest time.Duration
	// Quiet is the time since an attempt last succeeded or failed.
	Quiet time.Duration
}

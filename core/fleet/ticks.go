package fleet

import "time"

// PeriodCounter divides the time since its first use into periods of equal length and
// numbers them. It uses the monotonic clock, so a step of the wall clock has no effect.
// The zero value is ready for use.
type PeriodCounter struct{ origin time.Time }

// PeriodNumber returns the number of the period that contains a time, for periods of the
// given length. The first period has number 1.
func (c *PeriodCounter) PeriodNumber(now time.Time, length time.Duration) int64 {
	if c.origin.IsZero() {
		c.origin = now
	}
	return int64(now.Sub(c.origin)/length) + 1
}

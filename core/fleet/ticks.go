package fleet

import "time"

// PeriodCounter numbers parts of time from the first time that it sees. It counts on the
// steady clock, so a step of the time of day moves nothing.
type PeriodCounter struct{ origin time.Time }

// PeriodNumber returns the number of the part of the given length in which a time lies,
// from 1 on.
func (t *PeriodCounter) PeriodNumber(now time.Time, length time.Duration) int64 {
	if t.origin.IsZero() {
		t.origin = now
	}
	return int64(now.Sub(t.origin)/length) + 1
}

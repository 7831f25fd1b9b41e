package fleet

import "time"

// Clock returns the time with a monotonic clock reading.
type Clock interface {
	Now() time.Time
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

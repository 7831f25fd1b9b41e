package fleet

import "time"

// Clock gives the time with a monotonic reading.
type Clock interface {
	Now() time.Time
}

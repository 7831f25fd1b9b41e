// Package steptime simulates steps of the wall clock, for tests of code that must
// measure time by the monotonic clock.
package steptime

import (
	"time"
	"unsafe"
)

const (
	// hasMonotonic is the bit of time.Time's wall field that marks a time with a
	// monotonic clock reading.
	hasMonotonic = 1 << 63
	// secondsShift is the bit position of the wall clock seconds in that field.
	secondsShift = 30
)

// Step returns t with its wall clock reading moved by the whole seconds of step and
// its monotonic clock reading unchanged. It panics if t has no monotonic clock
// reading, since a test would then prove nothing.
func Step(t time.Time, step time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	if *wall&hasMonotonic == 0 {
		panic("the time has no monotonic clock reading")
	}
	*wall += uint64(int64(step/time.Second)) << secondsShift
	return t
}

// Package steptime makes times as they are read after a step of the time of day,
// for tests of code that must count on the steady clock.
package steptime

import (
	"time"
	"unsafe"
)

const (
	// hasMonotonic marks a time with a reading of the steady clock, as
	// time.Time keeps it.
	hasMonotonic = 1 << 63
	// secondShift is the position of the seconds of the time of day.
	secondShift = 30
)

// Step returns the time with its time of day moved by whole seconds, and with the
// same reading of the steady clock. It panics if there is no such reading, since a
// test would show nothing then.
func Step(t time.Time, by time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	if *wall&hasMonotonic == 0 {
		panic("the time has no reading of the steady clock")
	}
	*wall += uint64(int64(by/time.Second)) << secondShift
	return t
}

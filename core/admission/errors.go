package admission

import (
	"errors"
	"time"
)

// OverloadedError says that no slot can come free before the deadline.
type OverloadedError struct {
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "overloaded, try again after " + e.RetryAfter.String()
}

var (
	errExpired    = errors.New("deadline passed before a slot was granted")
	errCanceled   = errors.New("caller went away before a slot was granted")
	errNoCapacity = errors.New("no owned server takes work")
	errDrained    = errors.New("all owned servers are draining")
)

// Overloaded reports whether err is a refusal for overload, and when to try
// again.
func Overloaded(err error) (time.Duration, bool) {
	var e *OverloadedError
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.RetryAfter, true
}

// IsExpired reports whether the deadline passed before a slot was granted.
func IsExpired(err error) bool { return errors.Is(err, errExpired) }

// IsCanceled reports whether the caller went away before a slot was granted.
func IsCanceled(err error) bool { return errors.Is(err, errCanceled) }

// IsNoCapacity reports whether no owned server takes work.
func IsNoCapacity(err error) bool { return errors.Is(err, errNoCapacity) }

// IsDrained reports whether all owned servers are draining.
func IsDrained(err error) bool { return errors.Is(err, errDrained) }

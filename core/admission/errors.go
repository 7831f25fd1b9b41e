package admission

import (
	"errors"
	"time"
)

// OverloadedError reports that a request was refused because it would wait too
// long or because the queue is full for its customer.
type OverloadedError struct {
	// RetryAfter is the time after which the request may be retried.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "overloaded, retry after " + e.RetryAfter.String()
}

var (
	errExpired    = errors.New("deadline passed before a slot was granted")
	errCanceled   = errors.New("caller disconnected before a slot was granted")
	errNoCapacity = errors.New("no owned server takes work")
	errDrained    = errors.New("all owned servers are draining")
)

// Overloaded reports whether err is a refusal because of overload, and the time
// after which to retry.
func Overloaded(err error) (time.Duration, bool) {
	var e *OverloadedError
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.RetryAfter, true
}

// IsExpired reports whether the deadline passed before a slot was granted.
func IsExpired(err error) bool { return errors.Is(err, errExpired) }

// IsCanceled reports whether the caller disconnected before a slot was granted.
func IsCanceled(err error) bool { return errors.Is(err, errCanceled) }

// IsNoCapacity reports whether no owned server accepts requests.
func IsNoCapacity(err error) bool { return errors.Is(err, errNoCapacity) }

// IsDrained reports whether all owned servers are draining.
func IsDrained(err error) bool { return errors.Is(err, errDrained) }

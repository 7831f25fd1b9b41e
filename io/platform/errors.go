package platform

import "errors"

//go:generate ../../.tools/enumer -type=Fault -transform=kebab -text -yaml=false -output=errors_enumer.go

// Fault is the kind of failure of a call to the platform.
type Fault uint8

const (
	// Unreachable means that no whole response came.
	Unreachable Fault = iota
	// Rejected means that the platform answered with an error status.
	Rejected
	// Invalid means that the response cannot be decoded.
	Invalid
)

// Error is the failure of a call to the platform.
type Error struct {
	Fault Fault
	cause error
}

// Error returns the kind of failure and its cause.
func (e *Error) Error() string {
	return "platform: " + e.Fault.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsFault reports whether err is a failure of the given kind.
func IsFault(err error, fault Fault) bool {
	var e *Error
	return errors.As(err, &e) && e.Fault == fault
}

package platform

import "errors"

//go:generate ../../.tools/enumer -type=Fault -transform=kebab -text -yaml=false -output=errors_enumer.go

// Fault classifies failed calls to the platform.
type Fault uint8

const (
	// Unreachable means that no complete response was received.
	Unreachable Fault = iota
	// Rejected means that the platform responded with an error status.
	Rejected
	// Invalid means that the response cannot be decoded.
	Invalid
)

// Error describes a failed call to the platform.
type Error struct {
	Fault Fault
	cause error
}

// Error returns the kind of failure and its cause.
func (e *Error) Error() string {
	return "platform: " + e.Fault.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.cause }

// IsFault reports whether err is or wraps an Error of the given kind.
func IsFault(err error, fault Fault) bool {
	var e *Error
	return errors.As(err, &e) && e.Fault == fault
}

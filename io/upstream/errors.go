package upstream

import (
	"errors"

	"galenaridge/core/exchange"
)

//go:generate ../../.tools/enumer -type=Fault -transform=kebab -text -yaml=false -output=errors_enumer.go

// Fault is the kind of failure of an attempt or a probe.
type Fault uint8

const (
	// Unreachable means that no connection could be opened.
	Unreachable Fault = iota
	// Denied means that the permission to write the request was denied.
	Denied
	// SlotBusy means that another attempt uses the slot.
	SlotBusy
	// TimedOut means that the deadline of the attempt passed.
	TimedOut
	// Canceled means that the context ended.
	Canceled
	// Broken means that the connection failed before the whole response was received.
	Broken
	// Malformed means that the response violates HTTP or its end is not delimited
	// or, if nothing was written, that the request cannot be encoded.
	Malformed
	// Oversized means that the response exceeds a limit.
	Oversized
	// NotRun means that the server stated that it did not run the request.
	NotRun
	// Unhealthy means that a probe got a response with a status other than 2xx.
	Unhealthy
	// NoMemory means that the process has no memory for the response.
	NoMemory
)

// Error is the failure of an attempt or a probe.
type Error struct {
	Fault Fault
	cause error
}

// Error returns the kind of failure and its cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return "upstream: " + e.Fault.String()
	}
	return "upstream: " + e.Fault.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsFault reports whether err is or wraps an *Error of the given kind.
func IsFault(err error, fault Fault) bool {
	var e *Error
	return errors.As(err, &e) && e.Fault == fault
}

// refusal returns the refusal that reports a failed attempt.
func refusal(fault Fault, progress Progress) exchange.Response {
	message := "the server gave no whole answer: "
	if progress == Unwritten {
		message = "the request was not sent to the server: "
	}
	return exchange.Refuse(refusalCode(fault, progress), message+fault.String())
}

// refusalCode returns the refusal code of a failure. Codes with the outcome "not-run"
// are returned only if nothing was written.
func refusalCode(fault Fault, progress Progress) exchange.Code {
	if progress != Unwritten {
		switch fault {
		case TimedOut:
			return exchange.UpstreamTimeout
		case Malformed, Oversized:
			return exchange.BadAnswer
		default:
			return exchange.UpstreamLost
		}
	}
	switch fault {
	case TimedOut:
		return exchange.Expired
	case Canceled:
		return exchange.Canceled
	case Denied:
		return exchange.NotReady
	case Malformed:
		return exchange.BadRequest
	default:
		return exchange.NoCapacity
	}
}

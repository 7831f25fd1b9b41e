package upstream

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Progress -transform=kebab -text -yaml=false -output=attempt_enumer.go

// Progress is the stage that an attempt reached, as observed by the instance.
type Progress uint8

const (
	// Unwritten means that no byte of the request reached the connection.
	Unwritten Progress = iota
	// Written means that a byte may have reached the server, and that no whole
	// response was received.
	Written
	// Complete means that the whole response was read.
	Complete
)

// Permission is checked right before the first byte of a request is written.
// MayWrite must be fast and must not block.
type Permission interface {
	MayWrite() bool
}

// AlwaysAllowed is a Permission that is never denied.
type AlwaysAllowed struct{}

// MayWrite returns true.
func (AlwaysAllowed) MayWrite() bool { return true }

// Attempt is one request that is sent to one slot of one server.
type Attempt struct {
	Server fleet.ListedServer
	// Slot selects the connection; it is at least 0 and below the number of slots of
	// the server. Only one attempt may use a slot at a time.
	Slot       int
	Request    exchange.Request
	Permission Permission
	// Deadline ends the attempt; the server receives it in Unix milliseconds.
	Deadline time.Time
}

// Evidence is what an attempt reveals about the server and about whether the request
// may have run.
type Evidence struct {
	Progress Progress
	// Refused reports that the server refused the connection.
	Refused bool
	// ReusedConnection reports that the connection had been used for an earlier
	// request.
	ReusedConnection bool
	// Draining reports that the server announced that it accepts no more requests.
	Draining bool
	// Load is the number of requests in flight that the server reported. It is
	// valid if LoadKnown is set.
	Load      fleet.Slots
	LoadKnown bool
	// Duration is the time from the start of the attempt to its end.
	Duration time.Duration
	// Err is a *Error with the failure of the attempt, or nil if Progress is
	// Complete.
	Err error
}

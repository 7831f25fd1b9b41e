package registry

import (
	"time"

	"galenaridge/core/fleet"
)

// StartTime is the start time of a server in Unix milliseconds. It distinguishes
// incarnations with the same id.
type StartTime int64

// Incarnation identifies one run of a server process.
type Incarnation struct {
	ID        fleet.ServerID
	StartedAt StartTime
}

// Server is an entry of the server listing.
type Server struct {
	Incarnation
	Service  fleet.ServiceName
	Domain   fleet.Domain
	Address  fleet.Address
	Slots    fleet.Slots
	Presence fleet.Presence
	// WarmAt is the time at which the server reaches its full speed.
	WarmAt time.Time
	// Written is the position at which the entry was written to the store, or a later one
	// at which it was read if that is not known.
	Written fleet.Position
}

package registry

import (
	"time"

	"galenaridge/core/fleet"
)

// StartTime is the start of a server as a Unix time in milliseconds. It tells
// starts under the same id apart.
type StartTime int64

// Incarnation identifies one start of one server.
type Incarnation struct {
	ID        fleet.ServerID
	StartedAt StartTime
}

// Server is one listed server.
type Server struct {
	Incarnation
	Service  fleet.ServiceName
	Domain   fleet.Domain
	Address  fleet.Address
	Slots    fleet.Slots
	Presence fleet.Presence
	// WarmAt is when the server reaches its full speed.
	WarmAt time.Time
}

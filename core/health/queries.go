package health

import (
	"time"

	"galenaridge/core/fleet"
)

// Status is the condition of one server.
type Status struct {
	Server    fleet.ServerID
	Condition Condition
	Reason    Reason
	Since     time.Time
	Badness   float64
	// Permit says whether the owner holds a permit for the server.
	Permit bool
	// Relapses counts ejections that have not decayed yet.
	Relapses int
}

// View is an immutable copy of the conditions of the owned servers.
type View struct{}

// Status returns the condition of a server and whether it is known.
func (v View) Status(server fleet.ServerID) (Status, bool) { return Status{}, false }

// All returns the condition of each server in order of id.
func (v View) All() []Status { return nil }

// Usable returns the servers that accept connections and do not leave, for
// the report to the steward.
func (v View) Usable() []fleet.ServerID { return nil }

// Wishes returns the servers that need or hold a permit, for the report to
// the steward.
func (v View) Wishes() []Wish { return nil }

// Median returns the recent median latency over the owned healthy servers;
// zero if too few requests ended.
func (v View) Median() time.Duration { return 0 }

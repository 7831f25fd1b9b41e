package floor

import (
	"time"

	"galenaridge/core/fleet"
)

// StewardView is an immutable copy of a steward's state.
type StewardView struct {
	Floor fleet.Servers
	// Usable is the sum over reports that are still valid.
	Usable fleet.Servers
	// Permits lists outstanding permits in order of server.
	Permits []Permit
	// Grants is when the steward may grant at the earliest; zero if it is none.
	Grants time.Time
}

// Permit allows an owner to eject a server until it expires.
type Permit struct {
	Server  fleet.ServerID
	Owner   fleet.Member
	Badness float64
	Expires time.Time
}

// Spare returns how many more servers may be ejected.
func (v StewardView) Spare() fleet.Servers { return 0 }

// HolderView is an immutable copy of the permits that an owner holds.
type HolderView struct{}

// Valid reports whether the owner may eject the server at this time.
func (v HolderView) Valid(server fleet.ServerID, now time.Time) bool { return false }

// Permits returns the permits in order of server.
func (v HolderView) Permits() []Permit { return nil }

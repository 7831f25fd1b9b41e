package platform

import (
	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

//go:generate ../../.tools/enumer -type=Mode,ValueKind -transform=kebab -text -yaml=false -output=enums_enumer.go

// Mode is the availability of the platform to readers.
type Mode uint8

const (
	// Up serves readers.
	Up Mode = iota
	// Down closes the connections of readers without a response.
	Down
	// Stale serves the values as they were when the fault was set.
	Stale
)

// ValueKind selects one of the values that readers read.
type ValueKind uint8

const (
	// Config is the configuration document.
	Config ValueKind = iota
	// List is the listing of instances and servers.
	List
)

// Fault is a fault with its parameters. A new fault replaces the current one; the
// zero value ends all faults.
type Fault struct {
	Mode Mode `json:"mode"`
	// ListLag is the delay after which readers see a change of the listing.
	ListLag jsontime.Duration `json:"list_lag,omitempty"`
	// ConfigRevision, if not zero, is the revision of the configuration that
	// readers get. The response has status 404 if it is no longer stored.
	ConfigRevision fleet.Revision `json:"config_revision,omitempty"`
}

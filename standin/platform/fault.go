package platform

import (
	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

//go:generate ../../.tools/enumer -type=Mode,ValueKind -transform=kebab -text -yaml=false -output=enums_enumer.go

// Mode says whether readers get answers.
type Mode uint8

const (
	// Up answers readers.
	Up Mode = iota
	// Down closes the connections of readers without an answer.
	Down
	// Stale answers with the values as they were when the fault was set.
	Stale
)

// ValueKind names what readers read.
type ValueKind uint8

const (
	// Config is the configuration document.
	Config ValueKind = iota
	// List is the list of processes.
	List
)

// Fault is how the platform misbehaves. It replaces the fault before it.
type Fault struct {
	Mode Mode `json:"mode"`
	// ListLag delays each change of the list for readers.
	ListLag jsontime.Duration `json:"list_lag,omitempty"`
	// ConfigRevision serves an older configuration, if it is still held.
	ConfigRevision fleet.Revision `json:"config_revision,omitempty"`
}

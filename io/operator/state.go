package operator

import (
	"time"

	"galenaridge/core/fleet"
)

// InstanceState is the state of an instance as operators see it. Ages and durations
// are in milliseconds and times are in UTC.
type InstanceState struct {
	Instance     Instance      `json:"instance"`
	Ready        bool          `json:"ready"`
	Draining     bool          `json:"draining"`
	Lease        Lease         `json:"lease"`
	Config       Config        `json:"config"`
	Listing      Listing       `json:"list"`
	Peers        []Peer        `json:"peers"`
	OwnedServers []OwnedServer `json:"servers"`
	Ejections    []Ejection    `json:"ejections"`
	Permits      []Permit      `json:"permits"`
	Services     []Service     `json:"services"`
	Assignments  []Assignment  `json:"assignments"`
	Records      Records       `json:"records"`
}

// Instance identifies the instance.
type Instance struct {
	ID            fleet.InstanceID  `json:"id"`
	Incarnation   fleet.Incarnation `json:"incarnation,string"`
	Domain        fleet.Domain      `json:"domain"`
	CallerAddress fleet.Address     `json:"caller"`
	PeerAddress   fleet.Address     `json:"peer"`
	Release       string            `json:"release"`
	StartedAt     time.Time         `json:"started"`
}

// Lease is the right of the instance to send to its servers.
type Lease struct {
	Valid      bool               `json:"valid"`
	TimeLeftMS int64              `json:"left_ms"`
	Witnesses  []fleet.InstanceID `json:"witnesses"`
}

// Config is the configuration in force.
type Config struct {
	Version fleet.Version `json:"version"`
	Digest  fleet.Digest  `json:"digest"`
	AgeMS   int64         `json:"age_ms"`
	// WatchingPlatform reports whether the instance watches the platform.
	WatchingPlatform bool `json:"watching"`
	// PlatformFailingMS is how long calls to the platform have failed; zero
	// if they succeed or none is made.
	PlatformFailingMS int64 `json:"platform_failing_ms"`
}

// Listing is the platform's list of processes as last learned.
type Listing struct {
	Revision fleet.Revision `json:"revision"`
	AgeMS    int64          `json:"age_ms"`
}

// Peer is another instance as the membership sees it.
type Peer struct {
	ID            fleet.InstanceID  `json:"id"`
	Incarnation   fleet.Incarnation `json:"incarnation,string"`
	Domain        fleet.Domain      `json:"domain"`
	State         string            `json:"state"`
	CallerAddress fleet.Address     `json:"caller"`
}

// OwnedServer is a server whose slots the instance holds.
type OwnedServer struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	Domain  fleet.Domain      `json:"domain"`
	Address fleet.Address     `json:"address"`
	// Health is the state of health, and Reason says why it was reached.
	Health      string      `json:"health"`
	Reason      string      `json:"reason"`
	HealthSince time.Time   `json:"since"`
	Slots       fleet.Slots `json:"slots"`
	BusySlots   fleet.Slots `json:"busy"`
	// Weight is the share of work, from 0 to 1.
	Weight float64 `json:"weight"`
}

// Ejection is a server that gets no work because it fails.
type Ejection struct {
	Server  fleet.ServerID    `json:"server"`
	Service fleet.ServiceName `json:"service"`
	Reason  string            `json:"reason"`
	Since   time.Time         `json:"since"`
	// PermitTimeLeftMS is how long the permit of the ejection is valid.
	PermitTimeLeftMS int64 `json:"permit_left_ms"`
	// Relapses counts the ejections that lengthen the present one.
	Relapses int `json:"relapses"`
}

// Permit is an ejection that the instance granted as a steward.
type Permit struct {
	Server     fleet.ServerID    `json:"server"`
	Service    fleet.ServiceName `json:"service"`
	Holder     fleet.InstanceID  `json:"holder"`
	TimeLeftMS int64             `json:"left_ms"`
}

// Service is the load of a service on the instance.
type Service struct {
	Name           fleet.ServiceName `json:"name"`
	Slots          fleet.Slots       `json:"slots"`
	BusySlots      fleet.Slots       `json:"busy"`
	QueuedRequests int               `json:"queued"`
	Floor          fleet.Servers     `json:"floor"`
	// UsableServers counts the usable servers, if the instance is the steward.
	UsableServers fleet.Servers `json:"usable"`
	IsSteward     bool          `json:"steward"`
}

// Assignment counts the assignments that were issued for a service.
type Assignment struct {
	Service fleet.ServiceName `json:"service"`
	Issued  uint64            `json:"issued"`
	// Addresses are those of the latest assignment, in order of preference.
	Addresses []fleet.Address `json:"addresses"`
}

// Records counts the at-most-once records.
type Records struct {
	Held       int `json:"held"`
	Running    int `json:"running"`
	MaxRecords int `json:"limit"`
	// Inherited counts records that stopped instances handed over.
	Inherited int `json:"inherited"`
}

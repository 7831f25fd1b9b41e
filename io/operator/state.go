package operator

import (
	"time"

	"galenaridge/core/fleet"
)

// InstanceState is the state of an instance that operators receive. Fields whose
// names end in MS are in milliseconds; times are in UTC.
type InstanceState struct {
	Instance Instance `json:"instance"`
	Ready    bool     `json:"ready"`
	// UnreadyReason says why the instance is not ready, if it knows.
	UnreadyReason string        `json:"unready,omitempty"`
	Draining      bool          `json:"draining"`
	Lease         Lease         `json:"lease"`
	Config        Config        `json:"config"`
	Listing       Listing       `json:"list"`
	Peers         []Peer        `json:"peers"`
	OwnedServers  []OwnedServer `json:"servers"`
	Ejections     []Ejection    `json:"ejections"`
	Permits       []Permit      `json:"permits"`
	Services      []Service     `json:"services"`
	Assignments   []Assignment  `json:"assignments"`
	Records       Records       `json:"records"`
	// QuotaContact says whether this instance is in contact with the others that admit
	// requests; empty without quotas.
	QuotaContact string `json:"quota_contact,omitempty"`
	// Customers are those with the most requests on this instance.
	Customers []Customer `json:"customers,omitempty"`
	// FairShares are the customers that are above their fair share of a service now.
	FairShares []FairShare `json:"fair_shares,omitempty"`
}

// FairShare is the use of a service by a customer that is above its fair share, as this
// instance knows it.
type FairShare struct {
	Service  fleet.ServiceName `json:"service"`
	Customer fleet.Customer    `json:"customer"`
	// UsedSlots is the work of the customer that is admitted, FairShareSlots the fair share.
	UsedSlots      float64 `json:"used_slots"`
	FairShareSlots float64 `json:"fair_share_slots"`
	// RefusedPerS is the number of its requests that this instance refuses a second for lack
	// of capacity.
	RefusedPerS float64 `json:"refused_per_s"`
}

// Customer is a customer of the operator as this instance knows it. Requests and Refused
// count since the start of the process, on this instance only.
type Customer struct {
	Name fleet.Customer `json:"name"`
	// Configured is false for a customer that the configuration no longer has.
	Configured bool `json:"configured"`
	// Keys is the number of valid keys.
	Keys int `json:"keys"`
	// Priority is nil if that of the route applies.
	Priority *int `json:"priority,omitempty"`
	// RatePerS and Burst are the limits over all instances; a rate of zero means none.
	RatePerS float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	Requests uint64  `json:"requests"`
	Refused  uint64  `json:"refused"`
	// Quota is nil for a customer without one.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is the use of a customer's quota in the last window, as this instance knows it.
type Quota struct {
	// Own and Known are what this instance and all instances admitted.
	Own   int64 `json:"own"`
	Known int64 `json:"known"`
	// Limit is what all instances may admit, Share what this one may, and Reserved what is
	// left to instances out of contact.
	Limit    int64 `json:"limit"`
	Share    int64 `json:"share"`
	Reserved int64 `json:"reserved"`
	// Refused is the number of requests that this instance refused by the quota since the
	// start of the process.
	Refused uint64 `json:"refused"`
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

// Lease is the lease that permits the instance to send to its servers.
type Lease struct {
	Valid      bool               `json:"valid"`
	TimeLeftMS int64              `json:"left_ms"`
	Witnesses  []fleet.InstanceID `json:"witnesses"`
}

// Config is the active configuration.
type Config struct {
	Version fleet.Version `json:"version"`
	Digest  fleet.Digest  `json:"digest"`
	// AgeMS is the time since the configuration was adopted.
	AgeMS int64 `json:"age_ms"`
	// ConfirmedMS is the time since the store last confirmed the configuration to any
	// instance, as far as this one knows.
	ConfirmedMS int64 `json:"confirmed_ms,omitempty"`
	// KeysRequired reports whether requests need the key of a customer, unless their route is
	// public.
	KeysRequired bool `json:"keys_required"`
	// WatchingPlatform reports whether this instance watches the platform.
	WatchingPlatform bool `json:"watching"`
	// PlatformFailingMS is the time since calls to the platform began to fail; it is
	// zero if they succeed or none is made.
	PlatformFailingMS int64 `json:"platform_failing_ms"`
	// Refused is the newest configuration that the instance cannot use; nil if there is
	// none.
	Refused *RefusedConfig `json:"refused,omitempty"`
}

// RefusedConfig is a configuration that the instance cannot use.
type RefusedConfig struct {
	// Version is zero if it cannot be read.
	Version fleet.Version `json:"version"`
	Reason  string        `json:"reason"`
}

// Listing is the latest known revision of the platform's listing.
type Listing struct {
	// Era is the era of the metadata store; zero if the store reports none.
	Era      fleet.Era      `json:"era,omitempty"`
	Revision fleet.Revision `json:"revision"`
	AgeMS    int64          `json:"age_ms"`
}

// Peer is another instance of the membership.
type Peer struct {
	ID            fleet.InstanceID  `json:"id"`
	Incarnation   fleet.Incarnation `json:"incarnation,string"`
	Domain        fleet.Domain      `json:"domain"`
	State         string            `json:"state"`
	CallerAddress fleet.Address     `json:"caller"`
}

// OwnedServer is a server whose slots the instance owns.
type OwnedServer struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	Domain  fleet.Domain      `json:"domain"`
	Address fleet.Address     `json:"address"`
	// Health is the health condition, Reason the reason for it, and HealthSince the
	// time of the last change.
	Health      string      `json:"health"`
	Reason      string      `json:"reason"`
	HealthSince time.Time   `json:"since"`
	Slots       fleet.Slots `json:"slots"`
	BusySlots   fleet.Slots `json:"busy"`
	// Weight is the share of its normal traffic that the server may receive, from
	// 0 to 1.
	Weight float64 `json:"weight"`
}

// Ejection is a failing server that receives no requests, apart from trials.
type Ejection struct {
	Server  fleet.ServerID    `json:"server"`
	Service fleet.ServiceName `json:"service"`
	Reason  string            `json:"reason"`
	Since   time.Time         `json:"since"`
	// PermitTimeLeftMS is the time left until the permit of the ejection expires; it is
	// zero if there is no permit.
	PermitTimeLeftMS int64 `json:"permit_left_ms"`
	// Relapses counts the previous ejections that lengthen the current one.
	Relapses int `json:"relapses"`
}

// Permit is an ejection permit that the instance has granted as the steward of the
// service.
type Permit struct {
	Server     fleet.ServerID    `json:"server"`
	Service    fleet.ServiceName `json:"service"`
	Holder     fleet.InstanceID  `json:"holder"`
	TimeLeftMS int64             `json:"left_ms"`
}

// Service is the load that the instance has on one service.
type Service struct {
	Name           fleet.ServiceName `json:"name"`
	Slots          fleet.Slots       `json:"slots"`
	BusySlots      fleet.Slots       `json:"busy"`
	QueuedRequests int               `json:"queued"`
	Floor          fleet.Servers     `json:"floor"`
	// UsableServers is the number of usable servers that owners have reported; it is
	// zero unless the instance is the steward.
	UsableServers fleet.Servers `json:"usable"`
	IsSteward     bool          `json:"steward"`
}

// Assignment describes the assignments that the instance has issued for one
// service.
type Assignment struct {
	Service fleet.ServiceName `json:"service"`
	// Issued counts the assignments since the start of the instance.
	Issued uint64 `json:"issued"`
	// Addresses are the addresses of the latest assignment, in order of preference.
	Addresses []fleet.Address `json:"addresses"`
}

// Records holds the numbers of request records for at-most-once execution.
type Records struct {
	Held       int `json:"held"`
	Running    int `json:"running"`
	MaxRecords int `json:"limit"`
	// Inherited counts the records received from instances that stopped.
	Inherited int `json:"inherited"`
}

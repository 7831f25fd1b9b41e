package control

import (
	"time"

	"galenaridge/core/admission"
	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/health"
	"galenaridge/core/listing"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
	"galenaridge/core/retry"
)

// View is a snapshot of the control state. It is immutable, except for the pools,
// budgets and counters in it, which traffic goroutines update.
type View struct {
	Members member.View
	Owners  ownership.View
	Config  *config.View
	Listing fleet.Listing
	// History holds the most recent changes of the listing.
	History listing.History
	// Services holds all configured services.
	Services map[fleet.ServiceName]*Service
	// ConfigAdoptedAt and ListingAdoptedAt are the times at which the active
	// configuration and the current listing were adopted.
	ConfigAdoptedAt  time.Time
	ListingAdoptedAt time.Time
	// PlatformReadAt is the time at which any instance last read the platform, as
	// far as known here.
	PlatformReadAt   time.Time
	WatchingPlatform bool
	Leaving          bool
	// ConfigBehind means that a peer recently announced a newer configuration.
	ConfigBehind bool
}

// Service is the state of one service that traffic reads.
type Service struct {
	Config config.Service
	Pool   *admission.Pool
	Budget *retry.Budget
	// OwnedServers holds the servers whose slots this instance owns.
	OwnedServers map[fleet.ServerID]*OwnedServer
	// Owners holds the instances that are expected to own servers of the
	// service, ordered by id.
	Owners []Owner
	Health health.View
	// Permits holds the ejection permits that this instance has.
	Permits floor.HolderView
	// Steward is set if this instance is the steward of the service.
	Steward *floor.StewardView
}

// OwnedServer is a server whose slots this instance owns.
type OwnedServer struct {
	Listed   fleet.ListedServer
	Counters *health.Counters
}

// Owner is an instance that is expected to own servers of a service.
type Owner struct {
	Member        fleet.Member
	Domain        fleet.Domain
	PeerAddress   fleet.Address
	CallerAddress fleet.Address
	ServerCount   fleet.Servers
}

// ConditionChange is a change of the condition of an owned server.
type ConditionChange struct {
	Service fleet.ServiceName
	Before  health.Condition
	After   health.Status
}

// HasLease reports whether the lease of this instance is valid at now.
func (v *View) HasLease(now time.Time) bool { return v.Members.LeaseValid(now) }

// MaySendTo reports whether this instance may send new requests to the server at
// now.
func (v *View) MaySendTo(server fleet.ServerID, now time.Time) bool {
	return v.Owners.Holds(fleet.ServerResource(server), v.HasLease(now))
}

// Ready reports whether this instance can serve callers: it has an up-to-date
// configuration and a lease, and is not leaving.
func (v *View) Ready(now time.Time) bool {
	return v.Config.Ready() && !v.ConfigBehind && !v.Leaving && v.HasLease(now)
}

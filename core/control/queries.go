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

// View is the control state at one moment. It is immutable, except that the
// pools, budgets and counters in it belong to traffic.
type View struct {
	Members member.View
	Owners  ownership.View
	Config  *config.View
	Listing fleet.Listing
	// History holds the latest changes of the listing.
	History listing.History
	// Services holds all configured services.
	Services map[fleet.ServiceName]*Service
	// ConfigAdoptedAt and ListingAt are when the documents in force were adopted.
	ConfigAdoptedAt  time.Time
	ListingAdoptedAt time.Time
	// PlatformReadAt is when any instance last read the platform, as far as known.
	PlatformReadAt   time.Time
	WatchingPlatform bool
	Leaving          bool
	// ConfigBehind reports that a peer is known to have a newer configuration.
	ConfigBehind bool
}

// Service is what traffic needs to know about one service.
type Service struct {
	Config config.Service
	Pool   *admission.Pool
	Budget *retry.Budget
	// OwnedServers holds the servers whose slots this instance owns.
	OwnedServers map[fleet.ServerID]*OwnedServer
	// Owners lists the instances that are expected to own servers of the
	// service, in order of id.
	Owners []Owner
	Health health.View
	// Permits holds the ejection permits of this instance.
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

// ConditionChange says that the condition of an owned server changed.
type ConditionChange struct {
	Service fleet.ServiceName
	Before  health.Condition
	After   health.Status
}

// HasLease reports whether this instance may send requests to its servers.
func (v *View) HasLease(now time.Time) bool { return v.Members.LeaseValid(now) }

// MaySendTo reports whether this instance may send new work to the server now.
func (v *View) MaySendTo(server fleet.ServerID, now time.Time) bool {
	return v.Owners.Holds(fleet.ServerResource(server), v.HasLease(now))
}

// Ready reports whether callers may be sent to this instance.
func (v *View) Ready(now time.Time) bool {
	return v.Config.Ready() && !v.ConfigBehind && !v.Leaving && v.HasLease(now)
}

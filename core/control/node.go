package control

import (
	"context"
	"slices"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/listing"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

// node is the control state of this instance. Only the control goroutine accesses
// it.
type node struct {
	ctx     context.Context
	loop    *Loop
	options Options

	members   *member.State
	ownership *ownership.State
	config    *config.State
	services  map[fleet.ServiceName]*service
	// retired holds services that are no longer configured but still own servers
	// with requests in flight.
	retired []*service
	// usePeriods maps each server that this instance uses to the current period
	// of use.
	usePeriods map[fleet.ServerID]*usePeriod
	// listedServers holds the listed servers of configured services.
	listedServers map[fleet.ServerID]fleet.ListedServer
	// publishedServices is the map of services in the latest view.
	publishedServices map[fleet.ServiceName]*Service
	listing           fleet.Listing
	history           listing.History

	self             fleet.Member
	memberGeneration uint64
	// ownersStale means that the owners of services must be recomputed.
	ownersStale      bool
	hasLease         bool
	leaving          bool
	watchingPlatform bool
	// fetchingConfig and fetchingListing are set while a peer is asked for that document.
	fetchingConfig  bool
	fetchingListing bool
	// newestVersion is the highest configuration version that this instance
	// adopted or a peer reported, and newestReportedAt when a peer last reported
	// it.
	newestVersion    fleet.Version
	newestReportedAt time.Time
	configAdoptedAt  time.Time
	listingAdoptedAt time.Time
	platformReadAt   time.Time
	// watchRequiredAt is when this instance was last among the watchers by rank,
	// and ownReadAt when it last read the platform itself.
	watchRequiredAt time.Time
	ownReadAt       time.Time
	changed         bool
}

// usePeriod is one period in which this instance uses a server, identified by its
// pointer. It refers to the service, which may no longer be configured.
type usePeriod struct{ service *service }

func newNode(l *Loop) *node {
	now := l.options.Clock.Now()
	n := &node{
		loop:          l,
		options:       l.options,
		members:       member.New(now, l.options.Member),
		ownership:     ownership.New(ownership.Options{}),
		config:        config.NewState(),
		services:      map[fleet.ServiceName]*service{},
		usePeriods:    map[fleet.ServerID]*usePeriod{},
		listedServers: map[fleet.ServerID]fleet.ListedServer{},
	}
	n.self = n.members.View().Self().Member
	// A new instance assumes a recent read, so that it does not watch the platform
	// itself before heartbeats with the actual platform age can reach it.
	n.platformReadAt = now
	return n
}

// tick runs the periodic work of all parts of the control state.
func (n *node) tick(now time.Time) {
	n.announceConfig(now)
	n.applyMemberEffects(n.members.Tick(now))
	n.syncMembers(now)
	n.updateLease(now)
	n.applyOwnershipEffects(now, n.ownership.Tick(now, n.hasLease))
	for _, s := range n.services {
		s.tick(n, now)
	}
	n.expireRetired(now)
	if n.ownersStale {
		n.refreshOwners()
	}
	n.updatePlatformWatch(now)
}

// expireRetired expires waiting requests and held slots of retired services, and
// removes the services that own no server any more.
func (n *node) expireRetired(now time.Time) {
	n.retired = slices.DeleteFunc(n.retired, func(s *service) bool {
		s.pool.Expire(now)
		return len(s.ownedServers) == 0
	})
}

// updateLease updates hasLease and closes idle connections if the lease was lost.
func (n *node) updateLease(now time.Time) {
	valid := n.members.View().LeaseValid(now)
	if n.hasLease && !valid {
		n.options.Prober.CloseIdleConnections()
	}
	n.hasLease = valid
	n.changed = true
}

// syncMembers passes membership changes to the ownership. If this instance has
// rejoined with a new incarnation, it discards the ejection permits of the
// previous one.
func (n *node) syncMembers(now time.Time) {
	view := n.members.View()
	if self := view.Self().Member; self != n.self {
		n.self = self
		n.options.Events.Rejoined(self)
		for _, s := range n.services {
			s.resetPermits(self)
		}
	}
	if view.Generation() == n.memberGeneration {
		return
	}
	n.memberGeneration = view.Generation()
	n.applyOwnershipEffects(now, n.ownership.SetMembers(now, view))
	n.refreshOwners()
}

// refreshOwners recomputes the expected owners of each service.
func (n *node) refreshOwners() {
	n.ownersStale = false
	view := n.ownership.View()
	for _, s := range n.services {
		s.refreshOwners(view)
	}
	n.changed = true
}

// setResources passes the listed servers of configured services, and the floors
// of all services, to the ownership as its resources.
func (n *node) setResources(now time.Time) {
	document := n.config.View().Document()
	resources := make([]ownership.ResourceSpec, 0, len(n.listing.Servers)+len(document.Services))
	n.listedServers = make(map[fleet.ServerID]fleet.ListedServer, len(n.listing.Servers))
	byService := make(map[fleet.ServiceName][]fleet.ListedServer, len(document.Services))
	for _, listed := range n.listing.Servers {
		configured, known := n.config.View().Service(listed.Service)
		if !known {
			continue
		}
		n.listedServers[listed.ID] = listed
		byService[listed.Service] = append(byService[listed.Service], listed)
		resources = append(resources, ownership.ResourceSpec{
			Resource:        fleet.ServerResource(listed.ID),
			Domain:          listed.Domain,
			LargestDeadline: configured.Deadline,
		})
	}
	for _, configured := range document.Services {
		resources = append(resources, ownership.ResourceSpec{Resource: fleet.FloorResource(configured.Name)})
		n.services[configured.Name].setListedServers(now, byService[configured.Name])
	}
	n.applyOwnershipEffects(now, n.ownership.SetResources(now, resources))
	n.refreshOwners()
}

func (n *node) publish(now time.Time) *View {
	return &View{
		Members:          n.members.View(),
		Owners:           n.ownership.View(),
		Config:           n.config.View(),
		Listing:          n.listing,
		History:          n.history,
		Services:         n.publishServices(),
		ConfigAdoptedAt:  n.configAdoptedAt,
		ListingAdoptedAt: n.listingAdoptedAt,
		PlatformReadAt:   n.platformReadAt,
		WatchingPlatform: n.watchingPlatform,
		Leaving:          n.leaving,
		ConfigBehind:     n.configBehind(now),
	}
}

// publishServices returns all services. It returns the previous map if none of
// them changed.
func (n *node) publishServices() map[fleet.ServiceName]*Service {
	unchanged := len(n.publishedServices) == len(n.services)
	for name, s := range n.services {
		unchanged = unchanged && !s.dirty && s.published != nil && n.publishedServices[name] == s.published
	}
	if unchanged && n.publishedServices != nil {
		return n.publishedServices
	}
	n.publishedServices = make(map[fleet.ServiceName]*Service, len(n.services))
	for name, s := range n.services {
		n.publishedServices[name] = s.publish()
	}
	return n.publishedServices
}

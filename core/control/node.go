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

// node is the control state; only the control goroutine touches it.
type node struct {
	ctx     context.Context
	loop    *Loop
	options Options

	members  *member.State
	owners   *ownership.State
	config   *config.State
	services map[fleet.ServiceName]*service
	// retired holds services that are no longer configured while requests to
	// their servers run.
	retired []*service
	// holds maps each server that this instance uses to its hold.
	holds map[fleet.ServerID]*hold
	// servers maps each listed server of a configured service to its entry.
	servers map[fleet.ServerID]fleet.ListedServer
	// published is the map of services in the last view.
	published map[fleet.ServiceName]*Service
	listing   fleet.Listing
	history   listing.History

	self       fleet.Member
	generation uint64
	// ownersStale says that the owners of services must be computed anew.
	ownersStale bool
	lease       bool
	leaving     bool
	watching    bool
	fetching    bool
	// newest is the highest version that any peer reported.
	newest     fleet.Version
	newestAt   time.Time
	configAt   time.Time
	listingAt  time.Time
	platformAt time.Time
	// watchNeeded is when this instance was last among the watchers by rank,
	// and readAt when it last read the platform.
	watchNeeded time.Time
	readAt      time.Time
	changed     bool
}

// hold is one period in which this instance uses a server. It refers to the
// service, because that may have been removed from the configuration.
type hold struct{ service *service }

func newNode(l *Loop) *node {
	now := l.options.Clock.Now()
	n := &node{
		loop:     l,
		options:  l.options,
		members:  member.New(now, l.options.Member),
		owners:   ownership.New(ownership.Options{}),
		config:   config.NewState(),
		services: map[fleet.ServiceName]*service{},
		holds:    map[fleet.ServerID]*hold{},
		servers:  map[fleet.ServerID]fleet.ListedServer{},
	}
	n.self = n.members.View().Self().Member
	// A new instance gives the watchers before it one period to be heard.
	n.platformAt = now
	return n
}

// tick does everything that is due at now.
func (n *node) tick(now time.Time) {
	n.announceConfig(now)
	n.runMember(n.members.Tick(now))
	n.syncMembers(now)
	n.checkLease(now)
	n.runOwnership(now, n.owners.Tick(now, n.lease))
	for _, s := range n.services {
		s.tick(n, now)
	}
	n.tickRetired(now)
	if n.ownersStale {
		n.refreshOwners()
	}
	n.chooseWatch(now)
}

// tickRetired lets the last requests to removed services end.
func (n *node) tickRetired(now time.Time) {
	n.retired = slices.DeleteFunc(n.retired, func(s *service) bool {
		s.pool.Expire(now)
		return len(s.held) == 0
	})
}

// checkLease notes the gain and the loss of the lease.
func (n *node) checkLease(now time.Time) {
	valid := n.members.View().LeaseValid(now)
	if n.lease && !valid {
		n.options.Prober.CloseIdleConnections()
	}
	n.lease = valid
	n.changed = true
}

// syncMembers hands changes of the membership to the ownership.
func (n *node) syncMembers(now time.Time) {
	view := n.members.View()
	if self := view.Self().Member; self != n.self {
		n.self = self
		n.options.Events.Rejoined(self)
		for _, s := range n.services {
			s.rejoin(self)
		}
	}
	if view.Generation() == n.generation {
		return
	}
	n.generation = view.Generation()
	n.runOwnership(now, n.owners.SetMembers(now, view))
	n.refreshOwners()
}

// refreshOwners recomputes which instances serve each service.
func (n *node) refreshOwners() {
	n.ownersStale = false
	view := n.owners.View()
	for _, s := range n.services {
		s.refreshOwners(view)
	}
	n.changed = true
}

// setWanted tells the ownership which resources exist.
func (n *node) setWanted(now time.Time) {
	document := n.config.View().Document()
	wanted := make([]ownership.ResourceSpec, 0, len(n.listing.Servers)+len(document.Services))
	n.servers = make(map[fleet.ServerID]fleet.ListedServer, len(n.listing.Servers))
	byService := make(map[fleet.ServiceName][]fleet.ListedServer, len(document.Services))
	for _, listed := range n.listing.Servers {
		configured, known := n.config.View().Service(listed.Service)
		if !known {
			continue
		}
		n.servers[listed.ID] = listed
		byService[listed.Service] = append(byService[listed.Service], listed)
		wanted = append(wanted, ownership.ResourceSpec{
			Resource:        fleet.ServerResource(listed.ID),
			Domain:          listed.Domain,
			LargestDeadline: configured.Deadline,
		})
	}
	for _, configured := range document.Services {
		wanted = append(wanted, ownership.ResourceSpec{Resource: fleet.FloorResource(configured.Name)})
		n.services[configured.Name].setListed(now, byService[configured.Name])
	}
	n.runOwnership(now, n.owners.SetResources(now, wanted))
	n.refreshOwners()
}

func (n *node) publish(now time.Time) *View {
	return &View{
		Members:          n.members.View(),
		Owners:           n.owners.View(),
		Config:           n.config.View(),
		Listing:          n.listing,
		History:          n.history,
		Services:         n.publishServices(),
		ConfigAdoptedAt:  n.configAt,
		ListingAdoptedAt: n.listingAt,
		PlatformReadAt:   n.platformAt,
		WatchingPlatform: n.watching,
		Leaving:          n.leaving,
		ConfigBehind:     n.behind(now),
	}
}

// publishServices returns all services, in the same map as before while none
// of them changed.
func (n *node) publishServices() map[fleet.ServiceName]*Service {
	same := len(n.published) == len(n.services)
	for name, s := range n.services {
		same = same && !s.dirty && s.published != nil && n.published[name] == s.published
	}
	if same && n.published != nil {
		return n.published
	}
	n.published = make(map[fleet.ServiceName]*Service, len(n.services))
	for name, s := range n.services {
		n.published[name] = s.publish()
	}
	return n.published
}

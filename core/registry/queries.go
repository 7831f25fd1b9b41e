package registry

import (
	"cmp"
	"maps"
	"slices"

	"galenaridge/core/fleet"
)

// View is an immutable copy of the listed servers.
type View struct {
	services map[fleet.ServiceName][]Server
	count    int
	missing  map[fleet.ServerID]bool
	held     map[fleet.ServerID]bool
}

func newView(s *State) *View {
	v := &View{
		services: make(map[fleet.ServiceName][]Server),
		count:    len(s.servers),
		missing:  make(map[fleet.ServerID]bool, len(s.missingUntil)),
		held:     maps.Clone(s.held),
	}
	for id := range s.missingUntil {
		v.missing[id] = true
	}
	for _, server := range s.servers {
		v.services[server.Service] = append(v.services[server.Service], server)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// View returns the servers as of the last Publish. It is never nil.
func (s *State) View() *View { return s.view }

// Services returns the sorted names of all services that have servers.
func (v *View) Services() []fleet.ServiceName {
	names := make([]fleet.ServiceName, 0, len(v.services))
	for name := range v.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Servers returns the servers of a service ordered by id. The slice must not be
// modified.
func (v *View) Servers(service fleet.ServiceName) []Server { return v.services[service] }

// ServerCount returns the number of servers of all services.
func (v *View) ServerCount() int { return v.count }

// Stored returns the servers of all services as the store lists them. It lacks those that are
// kept for a grace period.
func (v *View) Stored() []Server {
	var stored []Server
	for _, name := range v.Services() {
		for _, server := range v.services[name] {
			if v.missing[server.ID] {
				continue
			}
			if v.held[server.ID] {
				server.Presence = fleet.Live
			}
			stored = append(stored, server)
		}
	}
	return stored
}

// IsMissing reports whether a server is kept for a grace period although a complete listing
// lacked it.
func (v *View) IsMissing(id fleet.ServerID) bool { return v.missing[id] }

package registry

import (
	"cmp"
	"slices"

	"galenaridge/core/fleet"
)

// View is an immutable copy of the listed servers.
type View struct {
	services map[fleet.ServiceName][]Server
	count    int
}

func newView(servers map[fleet.ServerID]Server) *View {
	v := &View{services: make(map[fleet.ServiceName][]Server), count: len(servers)}
	for _, server := range servers {
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

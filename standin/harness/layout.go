package harness

import (
	"slices"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
	"galenaridge/standin/port"
	"galenaridge/standin/server"
)

// seedCount is how many other instances the settings of an instance name.
const seedCount = 3

// place is one slot with its addresses.
type place struct {
	slot     Slot
	domain   fleet.Domain
	caller   fleet.Address
	peer     fleet.Address
	operator fleet.Address
}

// placedServer is one server with its failure domain.
type placedServer struct {
	domain  fleet.Domain
	options server.Options
}

// layout is where everything of a deployment listens.
type layout struct {
	deployment Deployment
	places     []place
	servers    []placedServer
	readers    fleet.Address
	operators  fleet.Address
	control    fleet.Address
	held       []*port.Reservation
}

// plan gives each part of a deployment its addresses. The caller releases
// them, also after a failure.
func plan(d Deployment) (*layout, error) {
	l := &layout{deployment: d}
	if len(d.Domains) == 0 || d.Instances < 1 {
		return l, eris.New("a deployment needs a failure domain and an instance")
	}
	for n := range d.Instances {
		p := place{slot: SlotName(n + 1), domain: d.Domains[n%len(d.Domains)]}
		if err := l.reserve(&p.caller, &p.peer, &p.operator); err != nil {
			return l, err
		}
		l.places = append(l.places, p)
	}
	for _, s := range d.Services {
		for n := range s.Servers {
			if err := l.addServer(s, n); err != nil {
				return l, err
			}
		}
	}
	return l, l.reserve(&l.readers, &l.operators, &l.control)
}

// addServer places the server with the number, which counts from 0.
func (l *layout) addServer(s Service, number int) error {
	d := l.deployment
	placed := placedServer{
		domain: d.Domains[number%len(d.Domains)],
		options: server.Options{
			ID:           ServerName(s.Name, number+1),
			Service:      s.Name,
			Slots:        s.Slots,
			MaxConns:     s.Conns,
			Mean:         jsontime.Duration(s.Mean),
			Jitter:       jsontime.Duration(s.Jitter),
			Seed:         d.Seed + uint64(len(l.servers)),
			ColdRequests: s.Cold,
			ColdFactor:   s.ColdFactor,
		},
	}
	if err := l.reserve(&placed.options.Listen, &placed.options.Control); err != nil {
		return err
	}
	l.servers = append(l.servers, placed)
	return nil
}

// reserve sets each address to a reserved one.
func (l *layout) reserve(addresses ...*fleet.Address) error {
	for _, a := range addresses {
		held, err := port.Reserve("127.0.0.1:0")
		if err != nil {
			return err
		}
		l.held = append(l.held, held)
		*a = held.Address()
	}
	return nil
}

// release gives all ports back.
func (l *layout) release() {
	for _, held := range l.held {
		held.Release()
	}
}

// place returns the place of a slot.
func (l *layout) place(slot Slot) (place, bool) {
	i := slices.IndexFunc(l.places, func(p place) bool { return p.slot == slot })
	if i < 0 {
		return place{}, false
	}
	return l.places[i], true
}

// server returns the server with the id.
func (l *layout) server(id fleet.ServerID) (placedServer, bool) {
	i := slices.IndexFunc(l.servers, func(s placedServer) bool { return s.options.ID == id })
	if i < 0 {
		return placedServer{}, false
	}
	return l.servers[i], true
}

// groups returns the servers that share a process, by the name of the process.
func (l *layout) groups() map[string][]server.Options {
	groups := map[string][]server.Options{}
	for _, s := range l.servers {
		name := l.processOf(s)
		groups[name] = append(groups[name], s.options)
	}
	return groups
}

// processOf returns the name of the process that runs a server.
func (l *layout) processOf(s placedServer) string {
	if slices.Contains(l.deployment.Alone, s.options.ID) {
		return "server-" + string(s.options.ID)
	}
	return "servers-" + string(s.domain)
}

// seeds returns the peer addresses of the next slots, which are in other
// failure domains first.
func (l *layout) seeds(slot Slot) []fleet.Address {
	at := slices.IndexFunc(l.places, func(p place) bool { return p.slot == slot })
	var seeds []fleet.Address
	for n := 1; n < len(l.places) && len(seeds) < seedCount; n++ {
		seeds = append(seeds, l.places[(at+n)%len(l.places)].peer)
	}
	return seeds
}

// listing returns the platform's list with everything live.
func (l *layout) listing() fleet.Listing {
	var list fleet.Listing
	for _, p := range l.places {
		list.Instances = append(list.Instances, listed(p, fleet.InstanceID(p.slot), fleet.Live))
	}
	for _, s := range l.servers {
		list.Servers = append(list.Servers, listedServer(s, fleet.Live))
	}
	return list
}

func listed(p place, id fleet.InstanceID, presence fleet.Presence) fleet.ListedInstance {
	return fleet.ListedInstance{ID: id, Domain: p.domain, PeerAddress: p.peer, CallerAddress: p.caller, Presence: presence}
}

func listedServer(s placedServer, presence fleet.Presence) fleet.ListedServer {
	return fleet.ListedServer{
		ID:       s.options.ID,
		Service:  s.options.Service,
		Domain:   s.domain,
		Address:  s.options.Listen,
		Presence: presence,
	}
}

// shape returns how the links between failure domains treat traffic.
func (l *layout) shape() link.Shape {
	return link.Shape{
		Delay:      jsontime.Duration(l.deployment.Delay),
		Jitter:     jsontime.Duration(l.deployment.Jitter),
		StallShare: l.deployment.StallShare,
		Stall:      jsontime.Duration(l.deployment.Stall),
	}
}

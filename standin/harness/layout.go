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

// seedCount is the maximum number of seeds in the settings of an instance.
const seedCount = 3

// slotLayout holds the failure domain and the addresses of a slot.
type slotLayout struct {
	slot            Slot
	domain          fleet.Domain
	callerAddress   fleet.Address
	peerAddress     fleet.Address
	operatorAddress fleet.Address
}

// placedServer holds the options and the failure domain of a server.
type placedServer struct {
	domain  fleet.Domain
	options server.Options
}

// layout assigns failure domains and addresses to all parts of a deployment.
type layout struct {
	deployment      Deployment
	slots           []slotLayout
	servers         []placedServer
	platformAddress fleet.Address
	platformControl fleet.Address
	linkControl     fleet.Address
	reservations    []*port.Reservation
}

// newLayout reserves the addresses of all parts of a deployment. The caller must
// release them, also after an error.
func newLayout(d Deployment) (*layout, error) {
	l := &layout{deployment: d}
	if len(d.Domains) == 0 || d.Instances < 1 {
		return l, eris.New("a deployment needs a failure domain and an instance")
	}
	for n := range d.Instances {
		slot := slotLayout{slot: SlotName(n + 1), domain: d.Domains[n%len(d.Domains)]}
		if err := l.reserve(&slot.callerAddress, &slot.peerAddress, &slot.operatorAddress); err != nil {
			return l, err
		}
		l.slots = append(l.slots, slot)
	}
	for _, s := range d.Services {
		for n := range s.Servers {
			if err := l.addServer(s, n); err != nil {
				return l, err
			}
		}
	}
	return l, l.reserve(&l.platformAddress, &l.platformControl, &l.linkControl)
}

// addServer adds the server of a service with the given number, counted from 0.
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

// reserve sets each address to a loopback address with a newly reserved port.
func (l *layout) reserve(addresses ...*fleet.Address) error {
	for _, a := range addresses {
		reservation, err := port.Reserve("127.0.0.1:0")
		if err != nil {
			return err
		}
		l.reservations = append(l.reservations, reservation)
		*a = reservation.Address()
	}
	return nil
}

// release frees all reserved ports.
func (l *layout) release() {
	for _, reservation := range l.reservations {
		reservation.Release()
	}
}

// findSlot returns the layout of a slot, and false if there is no such slot.
func (l *layout) findSlot(slot Slot) (slotLayout, bool) {
	i := slices.IndexFunc(l.slots, func(s slotLayout) bool { return s.slot == slot })
	if i < 0 {
		return slotLayout{}, false
	}
	return l.slots[i], true
}

// findServer returns a server by its id, and false if there is none.
func (l *layout) findServer(id fleet.ServerID) (placedServer, bool) {
	i := slices.IndexFunc(l.servers, func(s placedServer) bool { return s.options.ID == id })
	if i < 0 {
		return placedServer{}, false
	}
	return l.servers[i], true
}

// serversByProcess returns the options of the servers of each server process, by
// process name.
func (l *layout) serversByProcess() map[string][]server.Options {
	groups := map[string][]server.Options{}
	for _, s := range l.servers {
		name := l.processName(s)
		groups[name] = append(groups[name], s.options)
	}
	return groups
}

// processName returns the name of the process that runs a server.
func (l *layout) processName(s placedServer) string {
	if slices.Contains(l.deployment.SeparateServers, s.options.ID) {
		return "server-" + string(s.options.ID)
	}
	return "servers-" + string(s.domain)
}

// seedAddresses returns the peer addresses of the slots after the given one.
// Since domains are assigned in turn, remote failure domains come first.
func (l *layout) seedAddresses(slot Slot) []fleet.Address {
	own := slices.IndexFunc(l.slots, func(s slotLayout) bool { return s.slot == slot })
	var seeds []fleet.Address
	for n := 1; n < len(l.slots) && len(seeds) < seedCount; n++ {
		seeds = append(seeds, l.slots[(own+n)%len(l.slots)].peerAddress)
	}
	return seeds
}

// liveListing returns a listing with all instances and servers live.
func (l *layout) liveListing() fleet.Listing {
	var list fleet.Listing
	for _, s := range l.slots {
		list.Instances = append(list.Instances, listedInstance(s, fleet.InstanceID(s.slot), fleet.Live))
	}
	for _, s := range l.servers {
		list.Servers = append(list.Servers, listedServer(s, fleet.Live))
	}
	return list
}

func listedInstance(s slotLayout, id fleet.InstanceID, presence fleet.Presence) fleet.ListedInstance {
	return fleet.ListedInstance{ID: id, Domain: s.domain, PeerAddress: s.peerAddress, CallerAddress: s.callerAddress, Presence: presence}
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

// crossDomainShape returns the traffic shape of links between failure domains.
func (l *layout) crossDomainShape() link.Shape {
	return link.Shape{
		Delay:      jsontime.Duration(l.deployment.Delay),
		Jitter:     jsontime.Duration(l.deployment.Jitter),
		StallShare: l.deployment.StallShare,
		Stall:      jsontime.Duration(l.deployment.Stall),
	}
}

package harness

import (
	"strings"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
)

// Links are named source>target. A source is a failure domain and a slot,
// joined by a colon, where the slot "all" stands for all slots of the domain. A
// target is a failure domain, a kind and a name, joined by colons.
const (
	allSlots       = "all"
	clientDomain   = "clients"
	platformDomain = "platform"
	kindPeer       = "peer"
	kindCaller     = "caller"
	kindServer     = "server"
	kindReader     = "reader"
)

// source identifies the end of a link that opens connections.
type source struct {
	domain fleet.Domain
	slot   string
}

// target identifies the end of a link that accepts connections.
type target struct {
	domain  fleet.Domain
	kind    string
	name    string
	address fleet.Address
}

func linkName(from source, to target) string {
	return strings.Join([]string{string(from.domain), from.slot}, ":") + ">" +
		strings.Join([]string{string(to.domain), to.kind, to.name}, ":")
}

// linkSource returns the source in the names of the links that a slot uses.
func (l *layout) linkSource(s slotLayout) source {
	if l.deployment.LinksPerInstance {
		return source{s.domain, string(s.slot)}
	}
	return source{s.domain, allSlots}
}

// linkSources returns the distinct link sources of all slots.
func (l *layout) linkSources() []source {
	var all []source
	seen := map[source]bool{}
	for _, s := range l.slots {
		if from := l.linkSource(s); !seen[from] {
			seen[from] = true
			all = append(all, from)
		}
	}
	return all
}

// linkTargets returns the targets to which instances connect.
func (l *layout) linkTargets() []target {
	var all []target
	for _, s := range l.slots {
		all = append(all, target{s.domain, kindPeer, string(s.slot), s.peerAddress})
	}
	for _, s := range l.servers {
		all = append(all, target{s.domain, kindServer, string(s.options.ID), s.options.Listen})
	}
	return append(all, target{platformDomain, kindReader, platformDomain, l.platformAddress})
}

// usesLink reports whether traffic from source to target passes through a link.
func (l *layout) usesLink(from source, to target) bool {
	if to.kind == kindPeer && to.name == from.slot {
		return false
	}
	return l.deployment.LinksPerInstance || from.domain != to.domain
}

// linkOptions returns the options of all links of the deployment.
func (l *layout) linkOptions() []link.Options {
	var all []link.Options
	add := func(from source, to target, shape link.Shape) {
		all = append(all, link.Options{
			Name:   linkName(from, to),
			Listen: "127.0.0.1:0",
			Target: to.address,
			Seed:   l.deployment.Seed + 2*uint64(len(all)),
			Shape:  shape,
		})
	}
	for _, from := range l.linkSources() {
		for _, to := range l.linkTargets() {
			switch {
			case !l.usesLink(from, to):
			case from.domain == to.domain:
				add(from, to, link.Shape{})
			default:
				add(from, to, l.crossDomainShape())
			}
		}
	}
	if l.deployment.ClientDelay <= 0 {
		return all
	}
	for _, s := range l.slots {
		to := target{s.domain, kindCaller, string(s.slot), s.callerAddress}
		add(source{clientDomain, allSlots}, to, link.Shape{Delay: jsontime.Duration(l.deployment.ClientDelay)})
	}
	return all
}

// dialAddresses maps the address of each peer and server that a slot reaches
// through a link to the listen address of that link.
func (l *layout) dialAddresses(s slotLayout, listenAddresses map[string]fleet.Address) map[fleet.Address]fleet.Address {
	addresses := map[fleet.Address]fleet.Address{}
	from := l.linkSource(s)
	for _, to := range l.linkTargets() {
		if to.kind == kindReader || !l.usesLink(from, to) {
			continue
		}
		addresses[to.address] = listenAddresses[linkName(from, to)]
	}
	return addresses
}

// platformDialAddress returns the listen address of the link from a slot to the
// platform.
func (l *layout) platformDialAddress(s slotLayout, listenAddresses map[string]fleet.Address) fleet.Address {
	return listenAddresses[linkName(l.linkSource(s), target{domain: platformDomain, kind: kindReader, name: platformDomain})]
}

// clientDialAddresses maps the caller address of each slot to the listen address
// of the link for callers. It is empty if callers have no links.
func (l *layout) clientDialAddresses(listenAddresses map[string]fleet.Address) map[fleet.Address]fleet.Address {
	addresses := map[fleet.Address]fleet.Address{}
	for _, s := range l.slots {
		name := linkName(source{clientDomain, allSlots}, target{domain: s.domain, kind: kindCaller, name: string(s.slot)})
		if address, ok := listenAddresses[name]; ok {
			addresses[s.callerAddress] = address
		}
	}
	return addresses
}

// LinkEnd is a set of processes at one end of a cut or of changed links. It holds
// the patterns of link names that have this end as their source or target. The
// pattern "-" matches no link, since the processes of that end do not open or do
// not accept connections.
type LinkEnd struct {
	sourcePattern      string
	targetPattern      string
	needsInstanceLinks bool
}

// Domain returns the end with all processes of a failure domain.
func Domain(d fleet.Domain) LinkEnd {
	return LinkEnd{sourcePattern: string(d) + ":*", targetPattern: string(d) + ":*:*"}
}

// Instance returns the end with one instance. It needs LinksPerInstance.
func Instance(s Slot) LinkEnd {
	return LinkEnd{sourcePattern: "*:" + string(s), targetPattern: "*:*:" + string(s), needsInstanceLinks: true}
}

// Server returns the end with one server.
func Server(id fleet.ServerID) LinkEnd {
	return LinkEnd{sourcePattern: "-", targetPattern: "*:" + kindServer + ":" + string(id)}
}

// Platform returns the end with the platform.
func Platform() LinkEnd {
	return LinkEnd{sourcePattern: "-", targetPattern: platformDomain + ":*:*"}
}

// Clients returns the end with all callers. It needs a ClientDelay above zero.
func Clients() LinkEnd {
	return LinkEnd{sourcePattern: clientDomain + ":*", targetPattern: "-"}
}

// linkChange is a change to all links whose names match a pattern.
type linkChange struct {
	pattern string
	change  link.Change
}

// cutChanges returns the link changes that cut or heal the direction from one
// end to the other. Data in this direction flows up on links whose source is the
// sender, and down on links whose source is the receiver.
func cutChanges(from, to LinkEnd, cut bool) []linkChange {
	return []linkChange{
		{from.sourcePattern + ">" + to.targetPattern, link.Change{CutUp: &cut}},
		{to.sourcePattern + ">" + from.targetPattern, link.Change{CutDown: &cut}},
	}
}

// checkEnds fails if an end needs links per instance and the deployment has none.
func (l *layout) checkEnds(ends ...LinkEnd) error {
	for _, e := range ends {
		if e.needsInstanceLinks && !l.deployment.LinksPerInstance {
			return eris.New("cutting off a single instance needs LinksPerInstance")
		}
	}
	return nil
}

package harness

import (
	"strings"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
)

// A link is named source>target. A source is a failure domain and a slot, or
// "all" for all slots of the domain. A target is a failure domain, a kind and
// a name.
const (
	allSlots       = "all"
	clientDomain   = "clients"
	platformDomain = "platform"
	kindPeer       = "peer"
	kindCaller     = "caller"
	kindServer     = "server"
	kindReader     = "reader"
)

// source names the side of a link that connects.
type source struct {
	domain fleet.Domain
	slot   string
}

// target names the side of a link that accepts.
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

// sourceOf returns the source that the links of a slot carry.
func (l *layout) sourceOf(p place) source {
	if l.deployment.LinksPerInstance {
		return source{p.domain, string(p.slot)}
	}
	return source{p.domain, allSlots}
}

// sources returns the sources of all instances.
func (l *layout) sources() []source {
	var all []source
	seen := map[source]bool{}
	for _, p := range l.places {
		if from := l.sourceOf(p); !seen[from] {
			seen[from] = true
			all = append(all, from)
		}
	}
	return all
}

// targets returns what instances connect to through links.
func (l *layout) targets() []target {
	var all []target
	for _, p := range l.places {
		all = append(all, target{p.domain, kindPeer, string(p.slot), p.peer})
	}
	for _, s := range l.servers {
		all = append(all, target{s.domain, kindServer, string(s.options.ID), s.options.Listen})
	}
	return append(all, target{platformDomain, kindReader, platformDomain, l.readers})
}

// linked reports whether traffic passes a link.
func (l *layout) linked(from source, to target) bool {
	if to.kind == kindPeer && to.name == from.slot {
		return false
	}
	return l.deployment.LinksPerInstance || from.domain != to.domain
}

// links returns the links of a deployment.
func (l *layout) links() []link.Options {
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
	for _, from := range l.sources() {
		for _, to := range l.targets() {
			switch {
			case !l.linked(from, to):
			case from.domain == to.domain:
				add(from, to, link.Shape{})
			default:
				add(from, to, l.shape())
			}
		}
	}
	if l.deployment.ClientDelay <= 0 {
		return all
	}
	for _, p := range l.places {
		to := target{p.domain, kindCaller, string(p.slot), p.caller}
		add(source{clientDomain, allSlots}, to, link.Shape{Delay: jsontime.Duration(l.deployment.ClientDelay)})
	}
	return all
}

// via returns which address a slot dials in place of each address.
func (l *layout) via(p place, opened map[string]fleet.Address) map[fleet.Address]fleet.Address {
	via := map[fleet.Address]fleet.Address{}
	from := l.sourceOf(p)
	for _, to := range l.targets() {
		if to.kind == kindReader || !l.linked(from, to) {
			continue
		}
		via[to.address] = opened[linkName(from, to)]
	}
	return via
}

// platformOf returns the address at which a slot reads the platform.
func (l *layout) platformOf(p place, opened map[string]fleet.Address) fleet.Address {
	return opened[linkName(l.sourceOf(p), target{domain: platformDomain, kind: kindReader, name: platformDomain})]
}

// clientVia returns which address a caller dials in place of each address.
func (l *layout) clientVia(opened map[string]fleet.Address) map[fleet.Address]fleet.Address {
	via := map[fleet.Address]fleet.Address{}
	for _, p := range l.places {
		name := linkName(source{clientDomain, allSlots}, target{domain: p.domain, kind: kindCaller, name: string(p.slot)})
		if address, ok := opened[name]; ok {
			via[p.caller] = address
		}
	}
	return via
}

// LinkEnd is one end of a cut.
type LinkEnd struct {
	source string
	target string
	each   bool
}

// Domain is the end of a cut that holds all processes of a failure domain.
func Domain(d fleet.Domain) LinkEnd {
	return LinkEnd{source: string(d) + ":*", target: string(d) + ":*:*"}
}

// Instance is the end of a cut that holds one instance; it needs LinksPerInstance.
func Instance(s Slot) LinkEnd {
	return LinkEnd{source: "*:" + string(s), target: "*:*:" + string(s), each: true}
}

// Server is the end of a cut that holds one server.
func Server(id fleet.ServerID) LinkEnd {
	return LinkEnd{source: "-", target: "*:" + kindServer + ":" + string(id)}
}

// Platform is the end of a cut that holds the platform.
func Platform() LinkEnd {
	return LinkEnd{source: "-", target: platformDomain + ":*:*"}
}

// Clients is the end of a cut that holds all callers; it needs a ClientDelay.
func Clients() LinkEnd {
	return LinkEnd{source: clientDomain + ":*", target: "-"}
}

// linkChange is one change of all links that match a pattern.
type linkChange struct {
	pattern string
	change  link.Change
}

// cutChanges returns the changes that cut, or heal, traffic from one end to
// the other. The data flows up on the links that the sender opened and down
// on those that the receiver opened.
func cutChanges(from, to LinkEnd, cut bool) []linkChange {
	return []linkChange{
		{from.source + ">" + to.target, link.Change{CutUp: &cut}},
		{to.source + ">" + from.target, link.Change{CutDown: &cut}},
	}
}

// checkEnds fails if a cut needs links that the deployment has not.
func (l *layout) checkEnds(ends ...LinkEnd) error {
	for _, e := range ends {
		if e.each && !l.deployment.LinksPerInstance {
			return eris.New("a cut at one instance needs LinksPerInstance")
		}
	}
	return nil
}

package link

import (
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/standin/port"
)

func init() { toxics.Register(toxicType, new(directionToxic)) }

// Options describes one link.
type Options struct {
	Name   string        `json:"name"`
	Listen fleet.Address `json:"listen"`
	Target fleet.Address `json:"target"`
	Seed   uint64        `json:"seed,omitempty"`
	Shape  Shape         `json:"shape"`
}

// State is what a link does and did.
type State struct {
	Name      string        `json:"name"`
	Listen    fleet.Address `json:"listen"`
	Target    fleet.Address `json:"target"`
	Shape     Shape         `json:"shape"`
	BytesUp   int64         `json:"bytes_up"`
	BytesDown int64         `json:"bytes_down"`
}

// link is one running link.
type link struct {
	name   string
	target fleet.Address
	up     *direction
	down   *direction
	// held keeps the port while the link refuses connections.
	held *port.Reservation

	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	shape Shape
}

func open(options Options, clock clockwork.Clock) (*link, error) {
	held, err := port.Reserve(options.Listen)
	if err != nil {
		return nil, err
	}
	l := &link{
		held:   held,
		name:   options.Name,
		target: options.Target,
		up:     newDirection(clock, options.Seed),
		down:   newDirection(clock, options.Seed+1),
		proxy:  toxiproxy.NewProxy(),
	}
	l.proxy.Name = options.Name
	l.proxy.Listen = string(held.Address())
	l.proxy.Upstream = string(options.Target)
	if err := l.begin(options.Shape); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// begin puts the toxics and the first shape in place and listens.
func (l *link) begin(shape Shape) error {
	if err := l.attach(stream.Upstream, l.up); err != nil {
		return err
	}
	if err := l.attach(stream.Downstream, l.down); err != nil {
		return err
	}
	return l.set(shape)
}

// attach adds our toxic before the first connection, so that the library
// never has to change the chain of a connection.
func (l *link) attach(way stream.Direction, p *direction) error {
	name := map[stream.Direction]string{stream.Upstream: "upstream", stream.Downstream: "downstream"}[way]
	wrapper, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(
		`{"type":"` + toxicType + `","stream":"` + name + `","toxicity":1,"attributes":{}}`))
	if err != nil {
		return eris.Wrapf(err, "add the toxic of link %s", l.name)
	}
	wrapper.Toxic.(*directionToxic).direction = p
	return nil
}

// change applies a change.
func (l *link) change(c Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Reset {
		l.proxy.Stop()
	}
	return l.set(l.shape.apply(c))
}

// set puts a shape in force; the lock is held or the link is not shared yet.
func (l *link) set(shape Shape) error {
	l.shape = shape
	l.up.set(shape, shape.CutUp)
	l.down.set(shape, shape.CutDown)
	if shape.Refuse {
		l.proxy.Stop()
		return nil
	}
	if l.proxy.Enabled {
		return nil
	}
	return eris.Wrapf(l.proxy.Start(), "open link %s", l.name)
}

// close ends the link and its connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.up.close()
	l.down.close()
	l.held.Release()
}

// state returns what the link does and did.
func (l *link) state() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		Name:      l.name,
		Listen:    fleet.Address(l.proxy.Listen),
		Target:    l.target,
		Shape:     l.shape,
		BytesUp:   l.up.bytes.Load(),
		BytesDown: l.down.bytes.Load(),
	}
}

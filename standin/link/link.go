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

// Options describes one link. Seed determines its random delays.
type Options struct {
	Name   string        `json:"name"`
	Listen fleet.Address `json:"listen"`
	Target fleet.Address `json:"target"`
	Seed   uint64        `json:"seed,omitempty"`
	Shape  Shape         `json:"shape"`
}

// State is the current shape of a link and the bytes it has delivered since its
// start.
type State struct {
	Name      string        `json:"name"`
	Listen    fleet.Address `json:"listen"`
	Target    fleet.Address `json:"target"`
	Shape     Shape         `json:"shape"`
	BytesUp   int64         `json:"bytes_up"`
	BytesDown int64         `json:"bytes_down"`
}

// link is a running link.
type link struct {
	name   string
	target fleet.Address
	up     *direction
	down   *direction
	// reservation keeps the port reserved while the listener is closed.
	reservation *port.Reservation

	mu    sync.Mutex
	proxy *toxiproxy.Proxy
	shape Shape
}

func openLink(options Options, clock clockwork.Clock) (*link, error) {
	reservation, err := port.Reserve(options.Listen)
	if err != nil {
		return nil, err
	}
	l := &link{
		reservation: reservation,
		name:        options.Name,
		target:      options.Target,
		up:          newDirection(clock, options.Seed),
		down:        newDirection(clock, options.Seed+1),
		proxy:       toxiproxy.NewProxy(),
	}
	l.proxy.Name = options.Name
	l.proxy.Listen = string(reservation.Address())
	l.proxy.Upstream = string(options.Target)
	if err := l.start(options.Shape); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// start adds the toxics, applies the initial shape and opens the listener.
func (l *link) start(shape Shape) error {
	if err := l.addToxic(stream.Upstream, l.up); err != nil {
		return err
	}
	if err := l.addToxic(stream.Downstream, l.down); err != nil {
		return err
	}
	return l.setShape(shape)
}

// addToxic adds the custom toxic to one direction. It must run before the first
// connection, so that the library never changes the toxics of an open
// connection.
func (l *link) addToxic(streamDirection stream.Direction, d *direction) error {
	name := map[stream.Direction]string{stream.Upstream: "upstream", stream.Downstream: "downstream"}[streamDirection]
	wrapper, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(
		`{"type":"` + toxicType + `","stream":"` + name + `","toxicity":1,"attributes":{}}`))
	if err != nil {
		return eris.Wrapf(err, "add the toxic of link %s", l.name)
	}
	wrapper.Toxic.(*directionToxic).direction = d
	return nil
}

// change applies a change to the shape and resets the connections on request.
func (l *link) change(c Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Reset {
		l.proxy.Stop()
	}
	return l.setShape(l.shape.apply(c))
}

// setShape applies a shape and opens or closes the listener. The caller holds the
// lock, unless the link is not shared yet.
func (l *link) setShape(shape Shape) error {
	l.shape = shape
	l.up.setShape(shape, shape.CutUp)
	l.down.setShape(shape, shape.CutDown)
	if shape.Refuse {
		l.proxy.Stop()
		return nil
	}
	if l.proxy.Enabled {
		return nil
	}
	return eris.Wrapf(l.proxy.Start(), "open link %s", l.name)
}

// close closes the listener and all connections and releases the port.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.up.close()
	l.down.close()
	l.reservation.Release()
}

// state returns the current shape and the byte counters.
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

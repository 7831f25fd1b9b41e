package link

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/jonboulle/clockwork"
)

// toxicType is the name under which the library finds our toxic.
const toxicType = "galenaridge-direction"

// chunkBuffer is how many chunks of a connection may be on the way in one
// direction before its sender must wait.
const chunkBuffer = 256

// direction is one direction of a link.
type direction struct {
	clock clockwork.Clock
	bytes atomic.Int64

	mu    sync.Mutex
	shape Shape
	cut   bool
	rng   *rand.Rand
	// open is closed while the path is not cut, and closed is closed for good
	// when the link ends.
	open   chan struct{}
	closed chan struct{}
}

func newDirection(clock clockwork.Clock, seed uint64) *direction {
	open := make(chan struct{})
	close(open)
	return &direction{
		clock:  clock,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		open:   open,
		closed: make(chan struct{}),
	}
}

// set replaces the shape and says whether this direction is cut.
func (d *direction) set(shape Shape, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shape = shape
	if cut == d.cut {
		return
	}
	d.cut = cut
	if cut {
		d.open = make(chan struct{})
		return
	}
	close(d.open)
}

// close lets all chunks pass, so that connections can end.
func (d *direction) close() { close(d.closed) }

// draw returns the delay of one chunk.
func (d *direction) draw() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shape.delay(d.rng.Float64(), d.rng.Float64())
}

// gate returns a channel that is closed while the path is not cut.
func (d *direction) gate() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// directionToxic passes the chunks of one direction of one link.
type directionToxic struct{ direction *direction }

// GetBufferSize returns the number of chunks on the way.
func (t *directionToxic) GetBufferSize() int { return chunkBuffer }

// Pipe delays and holds the chunks of one connection.
func (t *directionToxic) Pipe(stub *toxics.ToxicStub) {
	var last time.Time
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			last = t.hold(chunk, last)
			if chunk == nil {
				stub.Close()
				return
			}
			t.direction.bytes.Add(int64(len(chunk.Data)))
			stub.Output <- chunk
		}
	}
}

// hold waits until a chunk has arrived at the other side and returns when it
// was due. The end of a connection is a nil chunk. Chunks never overtake.
func (t *directionToxic) hold(chunk *stream.StreamChunk, last time.Time) time.Time {
	sent := t.direction.clock.Now()
	if chunk != nil {
		sent = chunk.Timestamp
	}
	due := sent.Add(t.direction.draw())
	if due.Before(last) {
		due = last
	}
	timer := t.direction.clock.NewTimer(due.Sub(t.direction.clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-t.direction.closed:
	}
	select {
	case <-t.direction.gate():
	case <-t.direction.closed:
	}
	return due
}

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

// toxicType is the type name under which the custom toxic is registered.
const toxicType = "galenaridge-direction"

// maxChunksInTransit is the number of chunks of a connection that may be in
// transit in one direction before the sender blocks.
const maxChunksInTransit = 256

// direction holds the shape and the state of one direction of a link.
type direction struct {
	clock clockwork.Clock
	bytes atomic.Int64

	mu    sync.Mutex
	shape Shape
	cut   bool
	rng   *rand.Rand
	// uncut is a closed channel while this direction is not cut. done is closed
	// when the link closes.
	uncut chan struct{}
	done  chan struct{}
}

func newDirection(clock clockwork.Clock, seed uint64) *direction {
	open := make(chan struct{})
	close(open)
	return &direction{
		clock: clock,
		rng:   rand.New(rand.NewPCG(seed, 2)),
		uncut: open,
		done:  make(chan struct{}),
	}
}

// setShape replaces the shape, and cuts or heals this direction.
func (d *direction) setShape(shape Shape, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shape = shape
	if cut == d.cut {
		return
	}
	d.cut = cut
	if cut {
		d.uncut = make(chan struct{})
		return
	}
	close(d.uncut)
}

// close delivers all held chunks without further delay, so that connections can
// end.
func (d *direction) close() { close(d.done) }

// drawDelay returns a random delay for one chunk.
func (d *direction) drawDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shape.delay(d.rng.Float64(), d.rng.Float64())
}

// uncutSignal returns a channel that is closed as soon as this direction is not
// cut.
func (d *direction) uncutSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.uncut
}

// directionToxic is the toxic that delivers chunks in one direction of a link.
type directionToxic struct{ direction *direction }

// GetBufferSize returns the number of chunks that may be in transit.
func (t *directionToxic) GetBufferSize() int { return maxChunksInTransit }

// Pipe delivers the chunks of one connection after their delay and any cut.
func (t *directionToxic) Pipe(stub *toxics.ToxicStub) {
	var previousDue time.Time
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			previousDue = t.waitDelivery(chunk, previousDue)
			if chunk == nil {
				stub.Close()
				return
			}
			t.direction.bytes.Add(int64(len(chunk.Data)))
			stub.Output <- chunk
		}
	}
}

// waitDelivery waits for the delay of a chunk and until the direction is not cut.
// It returns the time at which the delay ended, which is never before
// previousDue, so that chunks keep their order. Closing the link ends the wait. A
// nil chunk is the end of the connection.
func (t *directionToxic) waitDelivery(chunk *stream.StreamChunk, previousDue time.Time) time.Time {
	sent := t.direction.clock.Now()
	if chunk != nil {
		sent = chunk.Timestamp
	}
	due := sent.Add(t.direction.drawDelay())
	if due.Before(previousDue) {
		due = previousDue
	}
	timer := t.direction.clock.NewTimer(due.Sub(t.direction.clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-t.direction.done:
	}
	select {
	case <-t.direction.uncutSignal():
	case <-t.direction.done:
	}
	return due
}

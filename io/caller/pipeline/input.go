package pipeline

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/io/memory"
)

// errMemory means that what peers make the process hold needs too much memory.
var errMemory = errors.New("the requests in progress need too much memory")

// input reads from the socket of a caller. While a body is read, it bounds the time without
// progress and the rate.
type input struct {
	socket net.Conn
	clock  fleet.Clock
	rate   fleet.Bandwidth
	// first are bytes that were read before there was a read buffer.
	first []byte
	// deadline is when the body must have arrived; zero while no body is read.
	deadline time.Time
	transfer transfer
	// evicted is set if the connection must give up its body.
	evicted atomic.Bool
}

// beginBody begins the body of a request, which must arrive before a deadline.
func (i *input) beginBody(deadline time.Time) {
	i.deadline = deadline
	i.transfer.begin(i.clock.Now())
}

func (i *input) endBody() {
	i.deadline = time.Time{}
	i.transfer.end()
}

// Read implements io.Reader.
func (i *input) Read(p []byte) (int, error) {
	if len(i.first) > 0 {
		n := copy(p, i.first)
		i.first = i.first[n:]
		return n, nil
	}
	if i.deadline.IsZero() {
		return i.socket.Read(p)
	}
	now := i.clock.Now()
	deadline := fleet.Earlier(i.deadline, i.transfer.deadline(i.rate, 0))
	if err := i.socket.SetReadDeadline(fleet.Earlier(deadline, now.Add(bodyStallTimeout))); err != nil {
		return 0, err
	}
	// evict sets evicted before it ends a read, so that one of the two is seen.
	if i.evicted.Load() {
		return 0, errMemory
	}
	n, err := i.socket.Read(p)
	if i.evicted.Load() {
		return 0, errMemory
	}
	i.transfer.add(now, n)
	return n, err
}

// evict ends the reading of a body.
func (i *input) evict() {
	i.evicted.Store(true)
	_ = i.socket.SetReadDeadline(expiredDeadline)
}

// bodyRoom takes the memory of a body from the budget.
type bodyRoom struct{ holding *memory.Holding }

// Grow implements http1.Room. Nothing is read while it waits for memory.
func (r bodyRoom) Grow(bytes int) error {
	if !r.holding.GrowWithin(bytes, bodyMemoryWait) {
		return errMemory
	}
	return nil
}

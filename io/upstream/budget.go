package upstream

import (
	"errors"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/io/memory"
)

const (
	// maxHeadBytes bounds what is read until the header of a response is complete,
	// interim responses included.
	maxHeadBytes = 64 << 10
	// maxFramingBytes is how many bytes may be read beyond the largest body: chunks have
	// sizes and may have extensions.
	maxFramingBytes = 1 << 20
	// defaultMemoryBudget is the memory budget of a Pool whose options have none, and
	// defaultMemoryReserve the part of it for small responses and for connections.
	defaultMemoryBudget  = 24 << 20
	defaultMemoryReserve = 8 << 20
	// connBytes is the memory of a connection to a server.
	connBytes = poolMaxHeaderBytes + 4<<10
	// maxMemoryWait is how long a response is not read on while there is no memory for it.
	maxMemoryWait = 500 * time.Millisecond
)

var (
	errEndless = errors.New("the response is longer than its largest body")
	errMemory  = errors.New("the messages in progress need too much memory")
)

// readBudget bounds what a connection reads for one response, and the memory of its body.
// A server may send bytes without end; a parser that skips them would read until the
// deadline.
type readBudget struct {
	left int
	// body is what the body takes of the memory; nil if the memory is not bounded.
	body *memory.Holding
	// clock and deadline bound the wait for memory.
	clock    fleet.Clock
	deadline time.Time
}

// use counts bytes that were read. It returns an error if they exceed the budget.
func (b *readBudget) use(bytes int) error {
	b.left -= bytes
	if b.left < 0 {
		return errEndless
	}
	return nil
}

// Grow implements http1.Room. It waits for memory while the server cannot send more than
// the network holds.
func (b *readBudget) Grow(bytes int) error {
	if b.body == nil {
		return nil
	}
	wait := min(maxMemoryWait, b.deadline.Sub(b.clock.Now()))
	if !b.body.GrowWithin(bytes, wait) {
		return errMemory
	}
	return nil
}

// allowBody sets the budget for the rest of a response with a body of at most maxBodyBytes.
func (b *readBudget) allowBody(maxBodyBytes int) {
	b.left = maxHeadBytes + maxFramingBytes + maxBodyBytes
}

// reset ends the response: its bytes no longer count, and the next header may be read.
func (b *readBudget) reset() {
	if b.body != nil {
		b.body.Release()
	}
	b.left = maxHeadBytes
}

package upstream

import (
	"errors"

	"galenaridge/io/memory"
)

const (
	// maxHeadBytes bounds what is read until the header of a response is complete,
	// interim responses included.
	maxHeadBytes = 64 << 10
	// maxFramingBytes is how many bytes may be read beyond the largest body: chunks have
	// sizes and may have extensions.
	maxFramingBytes = 1 << 20
	// freeBytes is the part of each response that does not count for the memory budget.
	freeBytes = 64 << 10
	// defaultMemoryBudget is the memory budget of a Pool whose options have none.
	defaultMemoryBudget = 16 << 20
)

var (
	errEndless = errors.New("the response is longer than its largest body")
	errMemory  = errors.New("the responses in progress need too much memory")
)

// readBudget bounds what a connection reads for one response. A server may send bytes
// without end; a parser that skips them would read until the deadline.
type readBudget struct {
	left int
	// memory is shared by the connections of a pool; nil if there is no common bound.
	memory *memory.Budget
	read   int
	taken  int
}

// use counts bytes that were read. It returns an error if they exceed the budget.
func (b *readBudget) use(bytes int) error {
	b.left -= bytes
	b.read += bytes
	if b.left < 0 {
		return errEndless
	}
	if b.memory == nil || b.read <= freeBytes {
		return nil
	}
	if !b.memory.Take(bytes) {
		return errMemory
	}
	b.taken += bytes
	return nil
}

// allowBody sets the budget for the rest of a response with a body of at most maxBodyBytes.
func (b *readBudget) allowBody(maxBodyBytes int) {
	b.left = maxHeadBytes + maxFramingBytes + maxBodyBytes
}

// reset ends the response: its bytes no longer count, and the next header may be read.
func (b *readBudget) reset() {
	if b.memory != nil {
		b.memory.GiveBack(b.taken)
	}
	b.left, b.read, b.taken = maxHeadBytes, 0, 0
}

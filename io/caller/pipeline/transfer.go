package pipeline

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// transfer is the progress of one body or one response. It is safe for concurrent use.
type transfer struct {
	mu        sync.Mutex
	active    bool
	startedAt time.Time
	// bytes is the number of bytes since the start.
	bytes int
	// progressAt is when the last progressBytes were complete, and bytesSince the number
	// of bytes after that.
	progressAt time.Time
	bytesSince int
}

func (t *transfer) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active, t.startedAt, t.bytes, t.progressAt, t.bytesSince = true, now, 0, now, 0
}

func (t *transfer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = false
}

// add counts bytes that were transferred.
func (t *transfer) add(now time.Time, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes += bytes
	t.bytesSince += bytes
	if t.bytesSince >= progressBytes {
		t.progressAt, t.bytesSince = now, 0
	}
}

// deadline returns the time at which a number of further bytes must have been transferred,
// so that the rate is not below a minimum.
func (t *transfer) deadline(rate fleet.Bandwidth, bytes int) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt.Add(transferGrace + rate.TransferTime(t.bytes+bytes))
}

// isStalled reports whether a transfer in progress made no progress for evictableStall.
func (t *transfer) isStalled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active && now.Sub(t.progressAt) >= evictableStall
}

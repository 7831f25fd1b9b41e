package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// SmallBytes is the size up to which a holding may use the reserve of a budget.
const SmallBytes = 64 << 10

// Options configures a Budget.
type Options struct {
	// LimitBytes bounds the sum of all bytes.
	LimitBytes int
	// ReserveBytes is the part of the limit that only holdings of at most SmallBytes
	// may use.
	ReserveBytes int
	// OnShortage is called after bytes did not fit, and may free some. It must not
	// block. It may be nil.
	OnShortage func()
}

// Budget bounds the sum of the bytes of holdings. It is safe for concurrent use.
type Budget struct {
	options Options
	used    atomic.Int64
	// large is the sum of the bytes of holdings above SmallBytes.
	large atomic.Int64
	kinds [kindCount]atomic.Int64

	waiters atomic.Int64
	mu      sync.Mutex
	// released is closed and replaced when bytes are released while there are waiters.
	released chan struct{}
}

// NewBudget returns a budget without holdings.
func NewBudget(options Options) *Budget {
	return &Budget{options: options, released: make(chan struct{})}
}

// Limit returns the bytes that all holdings together may have.
func (b *Budget) Limit() int { return b.options.LimitBytes }

// Used returns the sum of the bytes of all holdings.
func (b *Budget) Used() int { return int(b.used.Load()) }

// UsedFor returns the sum of the bytes of the holdings of a kind.
func (b *Budget) UsedFor(kind Kind) int { return int(b.kinds[kind].Load()) }

// take adds bytes, of which some are added to or subtracted from those of large holdings.
// It reports whether they fit; if they do not, nothing is added.
func (b *Budget) take(kind Kind, bytes, large int64) bool {
	if b.used.Add(bytes) > int64(b.options.LimitBytes) {
		b.used.Add(-bytes)
		return false
	}
	if large != 0 && b.large.Add(large) > int64(b.options.LimitBytes-b.options.ReserveBytes) {
		b.large.Add(-large)
		b.used.Add(-bytes)
		return false
	}
	b.kinds[kind].Add(bytes)
	return true
}

// add adds bytes whether they fit or not.
func (b *Budget) add(kind Kind, bytes, large int64) {
	b.used.Add(bytes)
	b.large.Add(large)
	b.kinds[kind].Add(bytes)
	if bytes < 0 && b.waiters.Load() > 0 {
		b.wakeWaiters()
	}
}

func (b *Budget) wakeWaiters() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.released)
	b.released = make(chan struct{})
}

func (b *Budget) releasedSignal() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// reportShortage lets the process free bytes.
func (b *Budget) reportShortage() {
	if b.options.OnShortage != nil {
		b.options.OnShortage()
	}
}

// Holding is a number of bytes that are held for one message or connection. One goroutine
// at a time may change it. The zero value must not be used.
type Holding struct {
	budget *Budget
	kind   Kind
	bytes  atomic.Int64
}

// NewHolding returns a holding without bytes.
func (b *Budget) NewHolding(kind Kind) *Holding { return &Holding{budget: b, kind: kind} }

// Init makes an embedded holding usable. It must have no bytes.
func (h *Holding) Init(budget *Budget, kind Kind) { h.budget, h.kind = budget, kind }

// Bytes returns the bytes of the holding. It may be called concurrently.
func (h *Holding) Bytes() int { return int(h.bytes.Load()) }

// largePart returns the bytes of a holding that count as large.
func largePart(bytes int64) int64 {
	if bytes > SmallBytes {
		return bytes
	}
	return 0
}

// Grow adds bytes before they are allocated. It returns false if they do not fit; nothing
// is added then.
func (h *Holding) Grow(bytes int) bool {
	if h.tryGrow(int64(bytes)) {
		return true
	}
	h.budget.reportShortage()
	return h.tryGrow(int64(bytes))
}

func (h *Holding) tryGrow(bytes int64) bool {
	before := h.bytes.Load()
	if !h.budget.take(h.kind, bytes, largePart(before+bytes)-largePart(before)) {
		return false
	}
	h.bytes.Store(before + bytes)
	return true
}

// GrowWithin is Grow that waits for a time until the bytes fit.
func (h *Holding) GrowWithin(bytes int, limit time.Duration) bool {
	if h.Grow(bytes) {
		return true
	}
	b := h.budget
	b.waiters.Add(1)
	defer b.waiters.Add(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		released := b.releasedSignal()
		if h.tryGrow(int64(bytes)) {
			return true
		}
		select {
		case <-released:
		case <-timer.C:
			return h.Grow(bytes)
		}
	}
}

// Add adds bytes that are allocated already, whether they fit or not.
func (h *Holding) Add(bytes int) {
	before := h.bytes.Load()
	after := before + int64(bytes)
	h.bytes.Store(after)
	h.budget.add(h.kind, int64(bytes), largePart(after)-largePart(before))
}

// Release removes all bytes.
func (h *Holding) Release() {
	if bytes := h.bytes.Load(); bytes != 0 {
		h.Add(int(-bytes))
	}
}

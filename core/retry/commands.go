package retry

import "sync/atomic"

const (
	// unit is the number of budget units in one token.
	unit = 12
	// earned is what a first attempt earns in units. A failing upstream must
	// see at most a tenth more load; a twelfth leaves room for the token that
	// each instance may have saved before.
	earned = 1
	// defaultCap bounds the burst of retries when an upstream fails. Each
	// instance has a budget of its own: at 400 instances 10 tokens each would
	// be several seconds of the load of a service.
	defaultCap = 1
)

// Options configures a budget; zero values take the defaults.
type Options struct {
	// Initial is the allowance at the start in tokens; none by default, since
	// an instance that starts while an upstream fails must not add load.
	Initial int
	// Cap is the largest number of tokens.
	Cap int
}

// Budget limits retries to a share of first attempts. All methods may be
// called concurrently.
type Budget struct {
	units atomic.Int64
	limit int64
}

// NewBudget returns a budget with its initial allowance.
func NewBudget(options Options) *Budget {
	if options.Cap <= 0 {
		options.Cap = defaultCap
	}
	b := &Budget{limit: int64(options.Cap) * unit}
	b.units.Store(min(int64(options.Initial)*unit, b.limit))
	return b
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	for {
		old := b.units.Load()
		if old >= b.limit || b.units.CompareAndSwap(old, min(old+earned, b.limit)) {
			return
		}
	}
}

// Spend takes a token for a retry and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		old := b.units.Load()
		if old < unit {
			return false
		}
		if b.units.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

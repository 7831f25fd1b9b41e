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
	// InitialTokens is the allowance at the start in tokens; none by default, since
	// an instance that starts while an upstream fails must not add load.
	InitialTokens int
	// MaxTokens is the largest number of tokens.
	MaxTokens int
}

// Budget limits retries to a share of first attempts. All methods may be
// called concurrently.
type Budget struct {
	units atomic.Int64
	limit int64
}

// NewBudget returns a budget with its initial allowance.
func NewBudget(options Options) *Budget {
	if options.MaxTokens <= 0 {
		options.MaxTokens = defaultCap
	}
	b := &Budget{limit: int64(options.MaxTokens) * unit}
	b.units.Store(min(int64(options.InitialTokens)*unit, b.limit))
	return b
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.units.Load()
		if old >= b.limit || b.units.CompareAndSwap(old, min(old+earned, b.limit)) {
			return
		}
	}
}

// TakeToken takes a token for a retry and reports whether there was one.
func (b *Budget) TakeToken() bool {
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

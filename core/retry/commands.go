package retry

import "sync/atomic"

const (
	// unitsPerToken is the number of budget units that make up one token.
	unitsPerToken = 12
	// unitsPerFirstAttempt is added to the budget for each first attempt. Retries may
	// add at most a tenth to the load of a failing upstream; a twelfth leaves room for
	// a token that each instance may have saved before.
	unitsPerFirstAttempt = 1
	// defaultMaxTokens limits the burst of retries when an upstream fails. Each
	// instance has its own budget: at 400 instances, 10 tokens each would amount to
	// several seconds of the load of a service.
	defaultMaxTokens = 1
)

// Options configures a Budget.
type Options struct {
	// InitialTokens is the number of tokens at the start. The default is 0, because an
	// instance that starts while an upstream fails must not add load.
	InitialTokens int
	// MaxTokens is the largest number of tokens; zero means 1.
	MaxTokens int
}

// Budget limits retries to a fraction of first attempts. It is a token bucket that is
// safe for concurrent use.
type Budget struct {
	units    atomic.Int64
	maxUnits int64
}

// NewBudget returns a budget with InitialTokens, at most MaxTokens.
func NewBudget(options Options) *Budget {
	if options.MaxTokens <= 0 {
		options.MaxTokens = defaultMaxTokens
	}
	b := &Budget{maxUnits: int64(options.MaxTokens) * unitsPerToken}
	b.units.Store(min(int64(options.InitialTokens)*unitsPerToken, b.maxUnits))
	return b
}

// RecordFirstAttempt adds the units that a first attempt earns.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.units.Load()
		if old >= b.maxUnits || b.units.CompareAndSwap(old, min(old+unitsPerFirstAttempt, b.maxUnits)) {
			return
		}
	}
}

// TakeToken consumes a token for a retry and reports whether one was available.
func (b *Budget) TakeToken() bool {
	for {
		old := b.units.Load()
		if old < unitsPerToken {
			return false
		}
		if b.units.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}

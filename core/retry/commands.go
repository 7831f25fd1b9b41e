package retry

// Options configures a budget; zero values take the defaults.
type Options struct {
	// Initial is the allowance at the start in tokens.
	Initial float64
	// Cap is the largest number of tokens.
	Cap float64
}

// Budget limits retries to a share of first attempts. All methods may be
// called concurrently.
type Budget struct{}

// NewBudget returns a budget with its initial allowance.
func NewBudget(options Options) *Budget { return &Budget{} }

// Earn records a first attempt.
func (b *Budget) Earn() {}

// Spend takes a token for a retry and reports whether there was one.
func (b *Budget) Spend() bool { return false }

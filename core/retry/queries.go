package retry

import "time"

// MaxAttempts is the largest number of attempts for one request. More would
// rarely end before the deadline and use up the budget of other requests.
const MaxAttempts = 3

// Attempt holds the facts about an attempt that ended.
type Attempt struct {
	// Answered says that the attempt gave an answer to pass on.
	Answered bool
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Written says that a byte of the request may have reached the server.
	Written bool
	// Made counts the attempts so far, this one included.
	Made int
	// Limit is the largest number of attempts; MaxAttempts if zero.
	Limit int
	// Left is the time left until the deadline.
	Left time.Duration
	// Expected is the time that another attempt needs.
	Expected time.Duration
}

// Decide says whether another attempt is right, leaving the budget aside.
func Decide(a Attempt) Decision {
	switch {
	case a.Answered:
		return Answered
	case a.Written && !a.Idempotent:
		return MayHaveRun
	case a.Made >= a.limit():
		return TooManyAttempts
	case a.Left <= 0 || a.Left < a.Expected:
		return TooLate
	default:
		return Again
	}
}

// limit returns the largest number of attempts.
func (a Attempt) limit() int {
	if a.Limit > 0 {
		return a.Limit
	}
	return MaxAttempts
}

// Tokens returns the whole tokens in the budget.
func (b *Budget) Tokens() int { return int(b.units.Load() / unit) }

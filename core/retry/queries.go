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
	// Attempts counts the attempts so far, this one included.
	Attempts int
	// MaxAttempts is the largest number of attempts; MaxAttempts if zero.
	MaxAttempts int
	// TimeLeft is the time left until the deadline.
	TimeLeft time.Duration
	// ExpectedDuration is the time that another attempt needs.
	ExpectedDuration time.Duration
}

// Decide says whether another attempt is right, leaving the budget aside.
func Decide(a Attempt) Decision {
	switch {
	case a.Answered:
		return Answered
	case a.Written && !a.Idempotent:
		return MayHaveRun
	case a.Attempts >= a.limit():
		return TooManyAttempts
	case a.TimeLeft <= 0 || a.TimeLeft < a.ExpectedDuration:
		return TooLate
	default:
		return Retry
	}
}

// limit returns the largest number of attempts.
func (a Attempt) limit() int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return MaxAttempts
}

// Tokens returns the whole tokens in the budget.
func (b *Budget) Tokens() int { return int(b.units.Load() / unit) }

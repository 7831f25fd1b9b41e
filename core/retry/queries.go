package retry

import "time"

// MaxAttempts is the default limit of attempts for one request. Further attempts would
// rarely end before the deadline and would consume the budget of other requests.
const MaxAttempts = 3

// Attempt holds the facts about a finished attempt.
type Attempt struct {
	// Answered is set if the attempt returned a response for the caller.
	Answered bool
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Written is set if a byte of the request may have reached the server.
	Written bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// MaxAttempts is the largest number of attempts; zero means the constant
	// MaxAttempts.
	MaxAttempts int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// ExpectedDuration is the time that another attempt needs.
	ExpectedDuration time.Duration
}

// Decide reports whether another attempt may be made. It does not consult the budget.
func Decide(a Attempt) Decision {
	switch {
	case a.Answered:
		return Answered
	case a.Written && !a.Idempotent:
		return MayHaveRun
	case a.Attempts >= a.maxAttempts():
		return TooManyAttempts
	case a.TimeLeft <= 0 || a.TimeLeft < a.ExpectedDuration:
		return TooLate
	default:
		return Retry
	}
}

// maxAttempts returns the limit of attempts, with the default applied.
func (a Attempt) maxAttempts() int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return MaxAttempts
}

// Tokens returns the number of whole tokens in the budget.
func (b *Budget) Tokens() int { return int(b.units.Load() / unitsPerToken) }

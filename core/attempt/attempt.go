package attempt

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/retry"
)

// Evidence is what one attempt showed.
type Evidence struct {
	// Written reports that a byte of the request may have reached the server.
	Written bool
	// Complete reports that the whole answer of the server was read.
	Complete bool
	// Declined reports that the server stated that it did not run the request.
	Declined bool
	// Misdirected reports that another server is at the address.
	Misdirected bool
	// Refused reports that the server refused the connection.
	Refused bool
	// TimedOut reports that no answer came before the deadline.
	TimedOut bool
	// Canceled reports that the context ended the attempt.
	Canceled bool
	// Draining reports that the server announced that it leaves.
	Draining bool
	// Load is what the server stated; its Slots are zero if it did not.
	Load balance.Load
	// Err is the failure, nil if Complete.
	Err error
}

// History is what is known of a request after its attempts. The zero value is that
// of a request without any.
type History struct {
	// Response is the best answer so far; its Status is zero if there is none.
	Response exchange.Response
	// Attempts counts the attempts that added load to a server.
	Attempts int
	// MayHaveRun reports that the request may have run.
	MayHaveRun bool
}

// NewHistory returns the trail of one attempt.
func NewHistory(response exchange.Response, evidence Evidence) History {
	t := History{Response: response, MayHaveRun: evidence.Written && !evidence.Declined}
	if evidence.Written || evidence.Refused {
		t.Attempts = 1
	}
	return t
}

// Append returns the trail with the attempts of another one after it.
func (t History) Append(next History) History {
	return History{
		Response:   t.better(next.Response),
		Attempts:   t.Attempts + next.Attempts,
		MayHaveRun: t.MayHaveRun || next.MayHaveRun,
	}
}

// better returns the response to keep when there is another one. A refusal that
// says "not run" is not true once the request may have run, and the answer of a
// server says more than a refusal.
func (t History) better(next exchange.Response) exchange.Response {
	switch {
	case t.Response.Status == 0, !next.Refused():
		return next
	case !t.Response.Refused(), t.MayHaveRun && next.Outcome == fleet.NotRun:
		return t.Response
	default:
		return next
	}
}

// IsFinal reports whether a response is one to pass on: not a refusal and, if the
// request may be repeated, not an error of the server.
func IsFinal(response exchange.Response, idempotent bool) bool {
	return !response.Refused() && (!idempotent || response.Status < 500)
}

// RetryRules say what may follow an attempt.
type RetryRules struct {
	Idempotent bool
	// MaxAttempts is the largest number of attempts; that of retry if zero.
	MaxAttempts int
	// TimeLeft is the time until the deadline, Expected what another attempt needs.
	TimeLeft         time.Duration
	ExpectedDuration time.Duration
}

// ShouldRetry reports whether another attempt is right, leaving the budget aside.
func (t History) ShouldRetry(rules RetryRules) bool {
	return retry.Decide(retry.Attempt{
		Answered:         IsFinal(t.Response, rules.Idempotent),
		Idempotent:       rules.Idempotent,
		Written:          t.MayHaveRun,
		Attempts:         t.Attempts,
		MaxAttempts:      rules.MaxAttempts,
		TimeLeft:         rules.TimeLeft,
		ExpectedDuration: rules.ExpectedDuration,
	}) == retry.Retry
}

package attempt

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/retry"
)

// Evidence is what the client observed during one attempt.
type Evidence struct {
	// Written is set if a byte of the request may have reached the server.
	Written bool
	// Complete is set if the whole response of the server was read.
	Complete bool
	// Declined is set if the server stated that it did not run the request.
	Declined bool
	// Misdirected is set if a different server responds at the address.
	Misdirected bool
	// Refused is set if the server refused the connection.
	Refused bool
	// TimedOut is set if no response arrived before the deadline.
	TimedOut bool
	// Canceled is set if the context ended the attempt.
	Canceled bool
	// Draining is set if the server announced that it is leaving.
	Draining bool
	// RetryAfter is how long the server wants no request; zero if it did not say so.
	RetryAfter time.Duration
	// Denied is set if the attempt ended because the server no longer takes requests.
	Denied bool
	// Load is the load that the server reported; its Slots are zero if it reported
	// none.
	Load balance.Load
	// Err is the cause of the failure, nil if Complete is set.
	Err error
}

// History summarizes the attempts of a request. The zero value stands for no attempts.
type History struct {
	// Response is the best response so far; its Status is zero if there is none.
	Response exchange.Response
	// Attempts is the number of attempts that put load on a server.
	Attempts int
	// MayHaveRun is set if a server may have run the request.
	MayHaveRun bool
}

// NewHistory returns the history of a single attempt.
func NewHistory(response exchange.Response, evidence Evidence) History {
	t := History{Response: response, MayHaveRun: evidence.Written && !evidence.Declined}
	if evidence.Written || evidence.Refused {
		t.Attempts = 1
	}
	return t
}

// Append returns the history followed by the attempts of next.
func (t History) Append(next History) History {
	return History{
		Response:   t.betterResponse(next.Response),
		Attempts:   t.Attempts + next.Attempts,
		MayHaveRun: t.MayHaveRun || next.MayHaveRun,
	}
}

// betterResponse returns the response to keep out of the current one and next. A
// refusal with the outcome "not run" would be false once the request may have run,
// and a response of a server takes precedence over a refusal.
func (t History) betterResponse(next exchange.Response) exchange.Response {
	switch {
	case t.Response.Status == 0, !next.Refused():
		return next
	case !t.Response.Refused(), t.MayHaveRun && next.Outcome == fleet.NotRun:
		return t.Response
	default:
		return next
	}
}

// IsFinal reports whether a response is to be returned to the caller without a retry:
// it is not a refusal and, for an idempotent request, not a server error (status 500
// or higher).
func IsFinal(response exchange.Response, idempotent bool) bool {
	return !response.Refused() && (!idempotent || response.Status < 500)
}

// RetryRules limits further attempts of a request.
type RetryRules struct {
	Idempotent bool
	// MaxAttempts is the largest number of attempts; zero means retry.MaxAttempts.
	MaxAttempts int
	// TimeLeft is the time until the deadline, ExpectedDuration the time that another
	// attempt needs.
	TimeLeft         time.Duration
	ExpectedDuration time.Duration
}

// ShouldRetry reports whether the rules allow another attempt. It does not consult the
// retry budget.
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

package dispatch

import (
	"context"
	"time"

	"galenaridge/core/attempt"
	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
)

// Upstream is a service with its pool of servers and its quota of repeats.
type Upstream struct {
	Name         fleet.ServiceName
	Servers      *balance.Pool
	RepeatWindow *retry.Window
}

// ControlState provides the current configuration and server list.
type ControlState interface {
	// Routes returns the active configuration. It is never nil.
	Routes() *route.Table
	// ConfigBehind reports whether another instance has a newer configuration.
	ConfigBehind() bool
	// ConfigConfirmedAt returns when the configuration was last known to be current.
	ConfigConfirmedAt() time.Time
	// ConfigLoaded returns a channel that is closed once a configuration has been
	// loaded.
	ConfigLoaded() <-chan struct{}
	// StopPlan returns the plan of the planned stop that is under way, or nil.
	StopPlan() *StopPlan
	// Upstream returns a service, or false if it has no servers.
	Upstream(name fleet.ServiceName) (*Upstream, bool)
	// Usable reports whether this incarnation of a server is still listed and accepts
	// requests.
	Usable(service fleet.ServiceName, server registry.Incarnation) bool
}

// StopPlan holds the times of a planned stop.
type StopPlan struct {
	// LateAt is when callers have learned of the stop: their addresses have expired.
	LateAt time.Time
	// EndsAt is when the process closes all connections.
	EndsAt time.Time
}

// admits reports whether a request that arrives at a time may begin. A late one must end
// before the process does, even if its server stalls: it would be cut without a response.
func (p *StopPlan) admits(now, deadline time.Time) bool {
	return p == nil || now.Before(p.LateAt) || !deadline.After(p.EndsAt)
}

// Sender makes single attempts; it must not retry.
type Sender interface {
	Send(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence)
}

// Attempt is one request to one server.
type Attempt struct {
	Server  registry.Server
	Request exchange.Request
	// Deadline is the deadline of the caller.
	Deadline time.Time
	// MayWrite is called immediately before the first byte is written; false ends the
	// attempt.
	MayWrite func() bool
}

// Journal receives a record of each finished request. It must not block.
type Journal interface {
	RequestFinished(record RequestRecord)
}

// RequestRecord describes a finished request.
type RequestRecord struct {
	ID      exchange.RequestID
	Route   string
	Service fleet.ServiceName
	// Customer is empty for a request without a customer.
	Customer fleet.Customer
	// Quota is the decision that refused the request by the quota of its customer; nil if
	// none did.
	Quota         *quota.Decision
	Idempotent    bool
	ConfigVersion fleet.Version
	// Duration is the time from arrival to the final response, TimeLeft the time from
	// then to the deadline.
	Duration time.Duration
	TimeLeft time.Duration
	Response exchange.Response
	Attempts []AttemptRecord
	// CallerLeft is set if the caller disconnected.
	CallerLeft bool
}

// AttemptRecord describes a finished attempt.
type AttemptRecord struct {
	Server fleet.ServerID
	// StartOffset is the time from the arrival of the request to the start of the
	// attempt.
	StartOffset      time.Duration
	Duration         time.Duration
	Trial            bool
	Coverage         bool
	Hedge            bool
	Result           balance.Result
	Status           int
	Err              string
	ExpectedDuration time.Duration
	// FailureProbability and ServerRequests are the estimated failure probability and
	// the known number of requests of the server when it was chosen.
	FailureProbability float64
	ServerRequests     int
}

// Options holds the dependencies of an Engine.
type Options struct {
	ControlState ControlState
	Sender       Sender
	Clock        Clock
	Journal      Journal
	// Quotas is nil if there are none.
	Quotas     Quotas
	Revocation Revocation
}

// Clock provides the time and timers.
type Clock interface {
	fleet.Clock
	// NewTimer returns a channel that receives one value after the duration, and a
	// function that releases the timer.
	NewTimer(after time.Duration) (c <-chan time.Time, stop func())
}

const (
	// hedgeFactor is the multiple of the expected duration after which an idempotent
	// attempt is hedged. trialHedgeFactor applies to trials, which are likely to fail.
	hedgeFactor      = 1.6
	trialHedgeFactor = 1.25
	// hedgeMargin covers network delay.
	hedgeMargin = 25 * time.Millisecond
	// maxSends limits all attempts of a request. It also counts attempts that reached
	// no server, which the MaxAttempts of a route does not.
	maxSends = 5
	// maxReadmissions limits how often a request is admitted. Changes of the configuration
	// are seconds apart.
	maxReadmissions = 3
	// refusalRetryAfter is the retry delay sent to a refused caller.
	refusalRetryAfter = 150 * time.Millisecond
	// configWait is the longest time that a request waits for the first configuration
	// after the start of the instance.
	configWait = 250 * time.Millisecond
	// notReadyRetryAfter is the retry delay sent by an instance without a
	// configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// minRepeatsForTrial is the number of repeats that the quota must have left before
	// a trial starts, so that trials do not consume the quota of hedges.
	minRepeatsForTrial = 3
)

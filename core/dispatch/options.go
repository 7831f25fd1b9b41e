package dispatch

import (
	"context"
	"time"

	"galenaridge/core/attempt"
	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
)

// Upstream is a service with the state of its servers.
type Upstream struct {
	Name         fleet.ServiceName
	Servers      *balance.Pool
	RepeatWindow *retry.Window
}

// ControlState gives the published control state.
type ControlState interface {
	// Routes returns the configuration in force. It is never nil.
	Routes() *route.Table
	// ConfigLoaded returns a channel that is closed when there has been a configuration.
	ConfigLoaded() <-chan struct{}
	// Upstream returns a service, and false if it has no servers.
	Upstream(name fleet.ServiceName) (*Upstream, bool)
	// Usable reports whether an incarnation of a server is still listed and
	// takes requests.
	Usable(service fleet.ServiceName, server registry.Incarnation) bool
}

// Sender makes one attempt on one server and never repeats it.
type Sender interface {
	Send(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence)
}

// Attempt is one request to one server.
type Attempt struct {
	Server  registry.Server
	Request exchange.Request
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	// MayWrite is asked right before the first byte is written.
	MayWrite func() bool
}

// Journal takes what happened to a request. It must not block.
type Journal interface {
	RequestFinished(record RequestRecord)
}

// RequestRecord is what happened to one request.
type RequestRecord struct {
	ID            exchange.RequestID
	Route         string
	Service       fleet.ServiceName
	Idempotent    bool
	ConfigVersion fleet.Version
	// Duration is the time from the arrival to the final answer.
	Duration time.Duration
	TimeLeft time.Duration
	Response exchange.Response
	Attempts []AttemptRecord
	// Left says that the caller went away.
	CallerLeft bool
}

// AttemptRecord is what happened to one attempt.
type AttemptRecord struct {
	Server fleet.ServerID
	// StartOffset is when the attempt began, from the arrival of the request.
	StartOffset      time.Duration
	Duration         time.Duration
	Trial            bool
	Hedge            bool
	Result           balance.Result
	Status           int
	Err              string
	ExpectedDuration time.Duration
	// FailureProbability and Busy are what was believed of the server when it was chosen.
	FailureProbability float64
	ServerRequests     int
}

// Options set up an Engine.
type Options struct {
	ControlState ControlState
	Sender       Sender
	Clock        Clock
	Journal      Journal
}

// Clock gives the time and timers.
type Clock interface {
	fleet.Clock
	// NewTimer returns a channel that delivers once after the duration, and a
	// function that releases the timer.
	NewTimer(after time.Duration) (c <-chan time.Time, stop func())
}

const (
	// hedgeFactor is how many times the usual duration an idempotent attempt may
	// take before a second one starts; trialHedgeFactor that of a trial, which
	// is likely to fail.
	hedgeFactor      = 1.6
	trialHedgeFactor = 1.25
	// hedgeSlack covers the delay of the network.
	hedgeSlack = 25 * time.Millisecond
	// maxSends bounds attempts that reached no server, which the limits of
	// routes do not count.
	maxSends = 5
	// refusalPause is when a refused caller may come back.
	refusalPause = 150 * time.Millisecond
	// loadWait is how long a request waits for the first configuration of an
	// instance that has just started.
	loadWait = 250 * time.Millisecond
	// notReadyPause is when a caller may come back to an instance that has no
	// configuration yet.
	notReadyPause = 300 * time.Millisecond
	// trialReserve is the number of repeats that must be left for a trial to
	// start, so that trials do not use up the quota of hedges.
	trialReserve = 3
)

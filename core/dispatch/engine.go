package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"galenaridge/core/attempt"
	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/route"
)

// Engine dispatches requests. It is safe for concurrent use.
type Engine struct {
	options  Options
	inFlight atomic.Int64
	started  atomic.Int64
}

// New returns an engine that has no requests in flight.
func New(options Options) *Engine { return &Engine{options: options} }

// InFlight returns the number of requests without a final response.
func (e *Engine) InFlight() int64 { return e.inFlight.Load() }

// RequestsStarted returns the total number of requests received.
func (e *Engine) RequestsStarted() int64 { return e.started.Load() }

// Serve returns the final response to a request. The context must end when the caller
// disconnects. Request.Deadline is the deadline of the caller; the timeout of the
// route may shorten it.
func (e *Engine) Serve(ctx context.Context, request exchange.Request) exchange.Response {
	e.inFlight.Add(1)
	e.started.Add(1)
	defer e.inFlight.Add(-1)
	run := &requestRun{engine: e, request: request, callerDeadline: request.Deadline, arrivedAt: e.options.Clock.Now()}
	response := run.serve(ctx)
	run.settleQuota(response)
	e.record(ctx, run, response)
	return response
}

func (e *Engine) record(ctx context.Context, r *requestRun, response exchange.Response) {
	now := e.options.Clock.Now()
	record := RequestRecord{
		ID:         r.request.ID,
		Service:    r.request.Service,
		Duration:   now.Sub(r.arrivedAt),
		TimeLeft:   r.request.Deadline.Sub(now),
		Response:   response,
		Attempts:   r.attempts,
		CallerLeft: ctx.Err() != nil,
		Customer:   r.request.Customer,
		Standing:   r.standing,
		Quota:      r.quotaRefusal,
	}
	if r.route != nil {
		record.Route = r.route.Name
		record.Idempotent = r.route.Idempotent
		record.ConfigVersion = r.configVersion
		record.Priority = r.route.Priority
	}
	if r.grant.route != nil {
		record.Priority = r.grant.priority()
	}
	e.options.Journal.RequestFinished(record)
}

// requestRun holds the state of one request. It belongs to one goroutine.
type requestRun struct {
	engine  *Engine
	request exchange.Request
	// callerDeadline is the deadline of the caller, which that of the route shortens.
	callerDeadline time.Time
	arrivedAt      time.Time
	// route and configVersion are those of the latest admission, also of a refused one.
	route         *route.Entry
	configVersion fleet.Version
	grant         grant
	upstream      *Upstream
	// standing is where the customer stood when the last server was chosen, admitted is set
	// once one was chosen.
	standing fairness.Standing
	admitted bool
	// countedFor is the customer whose quota the request used, empty if there is none.
	countedFor fleet.Customer
	// quotaRefusal is the decision that refused the request; nil if none did.
	quotaRefusal *quota.Decision
	// triedServers lists the servers that were chosen so far.
	triedServers []registry.Incarnation
	attempts     []AttemptRecord
	history      attempt.History
}

// serve admits the request and runs its attempts. If the configuration changes before a
// server may have got it, the request is admitted again.
func (r *requestRun) serve(ctx context.Context) exchange.Response {
	if refusal := r.admit(ctx); refusal != nil {
		return *refusal
	}
	r.upstream.RepeatWindow.RecordFirstAttempt(r.arrivedAt)
	r.recordOffered()
	for range maxReadmissions {
		response := r.run(ctx)
		if ctx.Err() != nil || !r.mustReadmit(response) {
			return response
		}
		if refusal := r.readmit(); refusal != nil {
			return *refusal
		}
	}
	return refuseWithRetryAfter(exchange.NotReady, "the configuration changes too often", notReadyRetryAfter)
}

// run makes the attempts of an admitted request.
func (r *requestRun) run(ctx context.Context) exchange.Response {
	if r.route.Idempotent {
		return r.runHedged(ctx)
	}
	return r.runSequentially(ctx)
}

// runSequentially runs a non-idempotent request: one attempt at a time, the next only
// if the previous one did not run.
func (r *requestRun) runSequentially(ctx context.Context) exchange.Response {
	for range maxSends {
		chosen, pickResult := r.pickIfHeld(false)
		if chosen == nil {
			return r.finalResponse(pickResult)
		}
		r.attempt(ctx, chosen)
		if !r.mayRetry(ctx) {
			break
		}
	}
	return r.finalResponse(balance.Chosen)
}

// pick chooses a server that was not tried before.
func (r *requestRun) pick(allowTrial bool) (*balance.Attempt, balance.PickResult) {
	now := r.engine.options.Clock.Now()
	r.standing = r.upstream.Shares.Standing(now, r.request.Customer)
	chosen, pickResult := r.upstream.Servers.Pick(now, r.pickOptions(now, allowTrial))
	r.recordPick(now, pickResult)
	if chosen != nil {
		r.triedServers = append(r.triedServers, chosen.Server.Incarnation)
	}
	return chosen, pickResult
}

// pickOptions describes the request to the choice of a server.
func (r *requestRun) pickOptions(now time.Time, allowTrial bool) balance.PickOptions {
	return balance.PickOptions{
		Kind:             balance.RequestKind(r.route.Name),
		Idempotent:       r.route.Idempotent,
		Priority:         int(r.grant.priority()),
		Reserve:          r.standing.Reserve,
		HasCustomers:     r.grant.table.HasCustomers(),
		AllowTrial:       allowTrial,
		LatencyObjective: r.route.LatencyObjective,
		TimeLeft:         r.request.Deadline.Sub(now),
		RequestBytes:     len(r.request.Body),
		Exclude:          r.triedServers,
	}
}

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	response exchange.Response
	evidence attempt.Evidence
	record   AttemptRecord
}

// attempt makes one attempt and waits for its end.
func (r *requestRun) attempt(ctx context.Context, chosen *balance.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	r.recordAttempt(r.engine.send(ctx, r.request, r.grant, r.arrivedAt, chosen, false))
}

// recordAttempt adds a finished attempt to the history.
func (r *requestRun) recordAttempt(o attemptOutcome) {
	r.attempts = append(r.attempts, o.record)
	r.history = r.history.Append(attempt.NewHistory(o.response, o.evidence))
}

// send makes one attempt and reports its result to the pool.
func (e *Engine) send(ctx context.Context, request exchange.Request, allowed grant, arrivedAt time.Time, chosen *balance.Attempt, hedge bool) attemptOutcome {
	startedAt := e.options.Clock.Now()
	response, evidence := e.options.Sender.Send(ctx, Attempt{
		Server:   chosen.Server,
		Request:  request,
		Deadline: request.Deadline,
		MayWrite: func() bool {
			return ctx.Err() == nil && e.holds(allowed, &request) && e.options.ControlState.Usable(request.Service, chosen.Server.Incarnation) && chosen.MayWrite(e.options.Clock.Now())
		},
	})
	now := e.options.Clock.Now()
	answer := attempt.Answer(response, !request.Protected)
	result := balanceResult(answer, evidence)
	chosen.Observe(now, balance.Notice{Leaving: evidence.Draining, Pause: evidence.RetryAfter})
	if evidence.Complete {
		chosen.RecordResponseSize(len(response.Body))
	}
	chosen.Finish(now, result, evidence.Load)
	record := AttemptRecord{
		Server:             chosen.Server.ID,
		StartOffset:        startedAt.Sub(arrivedAt),
		Duration:           now.Sub(startedAt),
		Trial:              chosen.Trial,
		Coverage:           chosen.Coverage,
		Hedge:              hedge,
		Result:             result,
		Status:             response.Status,
		ExpectedDuration:   chosen.ExpectedDuration,
		FailureProbability: chosen.FailureProbability,
		ServerRequests:     chosen.ServerRequests,
	}
	switch {
	case evidence.Err != nil:
		record.Err = evidence.Err.Error()
	case answer.Code != response.Code:
		record.Err = answer.Message
	}
	return attemptOutcome{response: answer, evidence: evidence, record: record}
}

// mayRetry reports whether another attempt may follow a finished one. If it returns
// true and the previous attempts put load on a server, it has consumed a repeat of
// the quota.
func (r *requestRun) mayRetry(ctx context.Context) bool {
	now := r.engine.options.Clock.Now()
	if ctx.Err() != nil {
		return false
	}
	rulesAllow := r.history.ShouldRetry(attempt.RetryRules{
		Idempotent:       r.route.Idempotent,
		MaxAttempts:      max(r.route.MaxAttempts, 1),
		TimeLeft:         r.request.Deadline.Sub(now),
		ExpectedDuration: r.upstream.Servers.ExpectedDuration(balance.RequestKind(r.route.Name), r.route.LatencyObjective) / 2,
	})
	if !rulesAllow {
		return false
	}
	// Attempts that reached no server add no load and need no quota.
	return r.history.Attempts == 0 || r.upstream.RepeatWindow.TryRepeat(now, int(r.grant.priority()))
}

// isFinal reports whether a response is to be returned without a retry.
func (r *requestRun) isFinal(response exchange.Response) bool {
	return attempt.IsFinal(response, r.route.Idempotent)
}

// finalResponse returns the response to the caller after the last attempt. A
// refusal because no server can be chosen carries a retry delay.
func (r *requestRun) finalResponse(pickResult balance.PickResult) exchange.Response {
	last := r.history.Response
	switch {
	case r.history.MayHaveRun, last.Status != 0 && !last.Refused():
		return last
	case pickResult == balance.AllPaused:
		pause := r.upstream.Servers.PausedFor(r.engine.options.Clock.Now())
		return refuseWithRetryAfter(exchange.Overloaded, "all servers asked for a pause", max(pause, refusalRetryAfter))
	case pickResult == balance.NoRoom:
		return refuseNoRoom(r.standing, refusalRetryAfter)
	case last.Status != 0 && !r.engine.options.Clock.Now().Before(r.request.Deadline):
		return refuseWithRetryAfter(exchange.Expired, "the deadline passed before a server took the request", 0)
	default:
		return refuseWithRetryAfter(exchange.NoCapacity, "no server took the request", refusalRetryAfter)
	}
}

// balanceResult converts the end of an attempt to a result for package balance.
func balanceResult(response exchange.Response, evidence attempt.Evidence) balance.Result {
	switch {
	case evidence.Misdirected:
		return balance.Misdirected
	case evidence.Declined:
		return balance.Shed
	case evidence.Complete && response.Status < 500:
		return balance.Succeeded
	case evidence.Complete:
		return balance.Failed
	case evidence.Canceled, evidence.Denied:
		return balance.Abandoned
	case evidence.TimedOut && evidence.Written:
		return balance.Stalled
	case !evidence.Written:
		return balance.Unreachable
	default:
		return balance.Failed
	}
}

// refuseWithRetryAfter returns a refusal with the delay after which the caller may
// retry.
func refuseWithRetryAfter(code exchange.Code, message string, retryAfter time.Duration) exchange.Response {
	response := exchange.Refuse(code, message)
	response.RetryAfter = retryAfter
	return response
}

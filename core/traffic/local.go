package traffic

import (
	"context"
	"time"

	"galenaridge/core/admission"
	"galenaridge/core/attempt"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/core/retry"
)

// runLocal carries out a request on the servers that this instance owns.
func (e *Engine) runLocal(ctx context.Context, request exchange.Request) attempt.History {
	var exclude []fleet.ServerID
	all := refused(exchange.NoCapacity, "this instance owns no server of the service")
	for {
		view := e.options.Control.View()
		service := view.Services[request.Service]
		if service == nil {
			return all.Append(refused(exchange.NoService, "service is not configured"))
		}
		if len(service.OwnedServers) == 0 || !view.HasLease(e.options.Clock.Now()) {
			return all
		}
		grant, err := service.Pool.Acquire(ctx, e.ask(view, request, exclude))
		if err != nil {
			return all.Append(attempt.History{Response: refuseAdmission(err)})
		}
		exclude = append(exclude, grant.Server)
		t := e.attempt(ctx, grant, request)
		all = all.Append(t)
		if !e.againHere(service, request, t, all, len(exclude)) {
			return all
		}
	}
}

func (e *Engine) ask(view *control.View, request exchange.Request, exclude []fleet.ServerID) admission.Request {
	tenant := view.Config.Tenant(request.Tenant)
	return admission.Request{
		Tenant:       tenant.Name,
		TenantWeight: tenant.Weight,
		Protected:    request.Protected,
		Idempotent:   !request.Protected,
		Deadline:     request.Deadline,
		Exclude:      exclude,
	}
}

// againHere decides whether another server of this instance should be tried after
// the last one.
func (e *Engine) againHere(service *control.Service, request exchange.Request, last, all attempt.History, tried int) bool {
	if tried >= len(service.OwnedServers) {
		return false
	}
	if last.Attempts == 0 {
		return tried < retry.MaxAttempts && e.free(request, last)
	}
	return e.retry(service, request, all)
}

// attempt sends the request to the server of the grant and gives the slot back.
func (e *Engine) attempt(ctx context.Context, grant *admission.Grant, request exchange.Request) attempt.History {
	clear := time.Duration(0)
	defer func() { release(grant, clear) }()
	// The view is read again, since the wait for the slot may have been long.
	service := e.options.Control.View().Services[request.Service]
	if service == nil || service.OwnedServers[grant.Server] == nil {
		return refused(exchange.NoCapacity, "the server has another owner now")
	}
	server := service.OwnedServers[grant.Server]
	result := health.Canceled
	server.Counters.Start(grant.Slot, e.options.Clock.Now())
	defer func() { server.Counters.Finish(grant.Slot, e.options.Clock.Now(), result) }()
	response, evidence := e.options.Sender.Send(ctx, Attempt{
		Server:   server.Listed,
		Slot:     grant.Slot,
		Request:  request,
		MayWrite: func() bool { return e.mayWrite(server.Listed.ID) },
		Deadline: e.serverDeadline(request, service.Config.Deadline),
	})
	result = resultOf(response, evidence)
	clear = clearing(evidence)
	if evidence.Draining && server.Listed.Presence != fleet.Leaving {
		e.options.DrainListener.ReportServerDraining(request.Service, server.Listed.ID)
	}
	return attempt.NewHistory(response, evidence)
}

const (
	// clearTimedOut is how long a server may work on a request after its
	// deadline: the server ends it by its own clock, which may be late by
	// that.
	clearTimedOut = 250 * time.Millisecond
	// clearBroken is how long a server may work on a request whose connection
	// was closed: the end of the connection has to reach it.
	clearBroken = 50 * time.Millisecond
)

// clearing returns how long a server may still work on a request after its
// attempt ended here. Its slot must not be used in that time.
func clearing(evidence attempt.Evidence) time.Duration {
	switch {
	case !evidence.Written || evidence.Complete:
		return 0
	case evidence.TimedOut:
		return clearTimedOut
	default:
		return clearBroken
	}
}

// release gives a slot back, at once or after a time.
func release(grant *admission.Grant, after time.Duration) {
	if after > 0 {
		grant.ReleaseAfter(after)
		return
	}
	grant.Release()
}

// mayWrite is the right to send, checked on the monotonic clock right before
// the first byte.
func (e *Engine) mayWrite(server fleet.ServerID) bool {
	return e.options.Control.View().MaySendTo(server, e.options.Clock.Now())
}

// serverDeadline ends the work before another owner may start to use the
// server.
func (e *Engine) serverDeadline(request exchange.Request, largest time.Duration) time.Time {
	limit := e.options.Control.View().Members.LeaseUntil().Add(largest)
	if request.Deadline.Before(limit) {
		return request.Deadline
	}
	return limit
}

// resultOf is what an attempt says about the server.
func resultOf(response exchange.Response, evidence attempt.Evidence) health.Result {
	switch {
	case evidence.Complete && response.Status < 500:
		return health.Succeeded
	case evidence.Refused:
		return health.Refused
	case evidence.TimedOut:
		return health.TimedOut
	case evidence.Canceled, !evidence.Written:
		return health.Canceled
	default:
		return health.Failed
	}
}

// refuseAdmission turns an error of the pool into a refusal.
func refuseAdmission(err error) exchange.Response {
	if after, overloaded := admission.Overloaded(err); overloaded {
		response := exchange.Refuse(exchange.Overloaded, "no slot can come free before the deadline")
		response.RetryAfter = after
		return response
	}
	switch {
	case admission.IsExpired(err):
		return exchange.Refuse(exchange.Expired, "the deadline passed before a slot came free")
	case admission.IsCanceled(err):
		return exchange.Refuse(exchange.Canceled, "the caller went away before a slot came free")
	default:
		return exchange.Refuse(exchange.NoCapacity, "no server of this instance takes work")
	}
}

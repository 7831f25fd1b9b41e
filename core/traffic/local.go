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

// runLocal sends a request to a server that this instance owns, and to further
// ones if it fails and retries are allowed.
func (e *Engine) runLocal(ctx context.Context, request exchange.Request) attempt.History {
	var exclude []fleet.ServerID
	history := refused(exchange.NoCapacity, "this instance owns no server of the service")
	for {
		view := e.options.Control.View()
		service := view.Services[request.Service]
		if service == nil {
			return history.Append(refused(exchange.NoService, "service is not configured"))
		}
		if len(service.OwnedServers) == 0 || !view.HasLease(e.options.Clock.Now()) {
			return history
		}
		grant, err := service.Pool.Acquire(ctx, e.admissionRequest(view, request, exclude))
		if err != nil {
			return history.Append(attempt.History{Response: admissionRefusal(err)})
		}
		exclude = append(exclude, grant.Server)
		latest := e.attempt(ctx, grant, request)
		history = history.Append(latest)
		if !e.shouldRetryLocally(service, request, latest, history, len(exclude)) {
			return history
		}
	}
}

func (e *Engine) admissionRequest(view *control.View, request exchange.Request, exclude []fleet.ServerID) admission.Request {
	customer := view.Config.Customer(request.Customer)
	return admission.Request{
		Customer:       customer.Name,
		CustomerWeight: customer.Weight,
		Protected:      request.Protected,
		Idempotent:     !request.Protected,
		Deadline:       request.Deadline,
		Exclude:        exclude,
	}
}

// shouldRetryLocally reports whether another server of this instance should be
// tried after the latest attempt; tried is the number of servers tried so far.
func (e *Engine) shouldRetryLocally(service *control.Service, request exchange.Request, latest, history attempt.History, tried int) bool {
	if tried >= len(service.OwnedServers) {
		return false
	}
	if latest.Attempts == 0 {
		return tried < retry.MaxAttempts && e.mayRetryUnsent(request, latest)
	}
	return e.takeRetry(service, request, history)
}

// attempt sends the request to the server of the grant and releases the slot.
func (e *Engine) attempt(ctx context.Context, grant *admission.Grant, request exchange.Request) attempt.History {
	holdTime := time.Duration(0)
	defer func() { releaseSlot(grant, holdTime) }()
	// The view is read again, because it may have changed during the wait for the
	// slot.
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
	result = healthResult(response, evidence)
	holdTime = slotHoldTime(evidence)
	if evidence.Draining && server.Listed.Presence != fleet.Leaving {
		e.options.DrainListener.ReportServerDraining(request.Service, server.Listed.ID)
	}
	return attempt.NewHistory(response, evidence)
}

const (
	// holdAfterTimeout covers the work of a server after the deadline of a
	// request: the server ends it by its own clock, which may be late by this
	// much.
	holdAfterTimeout = 250 * time.Millisecond
	// holdAfterConnectionLoss covers the work of a server after the connection
	// was closed: the close has to reach the server first.
	holdAfterConnectionLoss = 50 * time.Millisecond
)

// slotHoldTime returns how long a server may still work on a request after the
// attempt ended on this side. The slot must stay in use for that time.
func slotHoldTime(evidence attempt.Evidence) time.Duration {
	switch {
	case !evidence.Written || evidence.Complete:
		return 0
	case evidence.TimedOut:
		return holdAfterTimeout
	default:
		return holdAfterConnectionLoss
	}
}

// releaseSlot releases the slot of a grant after a delay, which may be zero.
func releaseSlot(grant *admission.Grant, delay time.Duration) {
	if delay > 0 {
		grant.ReleaseAfter(delay)
		return
	}
	grant.Release()
}

// mayWrite reports whether this instance still holds the server and a valid
// lease. It is called right before the first byte is written and uses the
// monotonic clock.
func (e *Engine) mayWrite(server fleet.ServerID) bool {
	return e.options.Control.View().MaySendTo(server, e.options.Clock.Now())
}

// serverDeadline returns the earlier of the request's deadline and the end of
// the lease plus maxDeadline. Another owner may use the server only after that.
func (e *Engine) serverDeadline(request exchange.Request, maxDeadline time.Duration) time.Time {
	limit := e.options.Control.View().Members.LeaseUntil().Add(maxDeadline)
	if request.Deadline.Before(limit) {
		return request.Deadline
	}
	return limit
}

// healthResult classifies an attempt for the failure detection.
func healthResult(response exchange.Response, evidence attempt.Evidence) health.Result {
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

// admissionRefusal converts an error of admission.Pool to a refusal.
func admissionRefusal(err error) exchange.Response {
	if retryAfter, overloaded := admission.Overloaded(err); overloaded {
		response := exchange.Refuse(exchange.Overloaded, "no slot can come free before the deadline")
		response.RetryAfter = retryAfter
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

package traffic

import (
	"context"
	"time"

	"galenaridge/core/attempt"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// runOnOwners sends a request to owners of the service until one returns a final
// response or no retry is allowed. The context ends at the deadline of the
// request.
func (e *Engine) runOnOwners(ctx context.Context, request exchange.Request) exchange.Response {
	var tried []fleet.InstanceID
	history := attempt.History{Response: exchange.Refuse(exchange.NoCapacity, "no owner of the service can be reached")}
	for i := range maxOwnersTried {
		view := e.options.Control.View()
		service := view.Services[request.Service]
		if service == nil {
			return history.Append(refused(exchange.NoService, "service is not configured")).Response
		}
		if i == 0 {
			service.Budget.RecordFirstAttempt()
		}
		target, found := e.chooseOwner(view, service, tried)
		if !found {
			return history.Response
		}
		tried = append(tried, target.Member.ID)
		latest := e.tryOwner(ctx, view, target, request)
		history = history.Append(latest)
		if ctx.Err() != nil || !e.shouldTryNextOwner(service, request, latest, history) {
			return history.Response
		}
	}
	return history.Response
}

// refused returns the history of a request that was refused without an attempt.
func refused(code exchange.Code, message string) attempt.History {
	return attempt.History{Response: exchange.Refuse(code, message)}
}

// shouldTryNextOwner reports whether another owner should be tried after the
// latest one.
func (e *Engine) shouldTryNextOwner(service *control.Service, request exchange.Request, latest, history attempt.History) bool {
	if latest.Attempts == 0 {
		return e.mayRetryUnsent(request, latest)
	}
	return e.takeRetry(service, request, history)
}

// mayRetryUnsent reports whether a request that reached no server may be tried
// elsewhere. Such a retry adds no load to the service, so it takes no token from
// the retry budget.
func (e *Engine) mayRetryUnsent(request exchange.Request, latest attempt.History) bool {
	return e.options.Clock.Now().Before(request.Deadline) && latest.Response.Code != exchange.BadRequest
}

// takeRetry reports whether a request that reached a server may be sent again,
// and takes a token from the retry budget if so.
func (e *Engine) takeRetry(service *control.Service, request exchange.Request, history attempt.History) bool {
	return history.ShouldRetry(attempt.RetryRules{
		Idempotent:       !request.Protected,
		TimeLeft:         request.Deadline.Sub(e.options.Clock.Now()),
		ExpectedDuration: service.Health.MedianLatency(),
	}) && service.Budget.TakeToken()
}

// chooseOwner returns the owner to run the request: this instance if it has a
// free slot, else the instance with the lowest cost among this instance and two
// random owners.
func (e *Engine) chooseOwner(view *control.View, service *control.Service, tried []fleet.InstanceID) (control.Owner, bool) {
	now := e.options.Clock.Now()
	self := view.Members.Self()
	var best control.Owner
	bestCost := 0.0
	found := false
	considerOwner := func(owner control.Owner, cost float64) {
		if contains(tried, owner.Member.ID) {
			return
		}
		if !found || cost < bestCost {
			best, bestCost, found = owner, cost, true
		}
	}
	if len(service.OwnedServers) > 0 && view.HasLease(now) {
		load := service.Pool.Load()
		considerOwner(control.Owner{Member: self.Member, Domain: self.Domain}, loadCost(load))
		if found && load.Busy < load.Slots {
			return best, true
		}
	}
	if len(service.Owners) > 0 {
		first := e.options.Random.IntN(len(service.Owners))
		second := e.options.Random.IntN(len(service.Owners))
		for _, i := range []int{first, second} {
			owner := service.Owners[i]
			if owner.Member.ID == self.Member.ID {
				continue
			}
			considerOwner(owner, e.loads.cost(service.Config.Name, owner.Member.ID, now)+domainCost(owner, self))
		}
	}
	if found && bestCost < unreachableCost/2 {
		return best, true
	}
	return e.fallbackOwner(service, self, tried, now)
}

// domainCost returns the extra cost of an owner in another failure domain, so
// that a local owner is preferred at similar load.
func domainCost(owner control.Owner, self member.Info) float64 {
	if owner.Domain == self.Domain {
		return 0
	}
	return remoteDomainCost
}

// remoteDomainCost represents the extra latency and the price of links between
// failure domains.
const remoteDomainCost = 0.25

// fallbackOwner returns the first reachable owner that was not tried, starting at
// a random position. An owner that reported no slots is returned only if there is
// no other.
func (e *Engine) fallbackOwner(service *control.Service, self member.Info, tried []fleet.InstanceID, now time.Time) (control.Owner, bool) {
	count := len(service.Owners)
	if count == 0 {
		return control.Owner{}, false
	}
	var withoutSlots control.Owner
	found := false
	start := e.options.Random.IntN(count)
	for i := range count {
		owner := service.Owners[(start+i)%count]
		if owner.Member.ID == self.Member.ID || contains(tried, owner.Member.ID) {
			continue
		}
		cost := e.loads.cost(service.Config.Name, owner.Member.ID, now)
		if cost < unreachableCost/2 {
			return owner, true
		}
		if !found && cost < unreachableCost {
			withoutSlots, found = owner, true
		}
	}
	return withoutSlots, found
}

func contains(ids []fleet.InstanceID, id fleet.InstanceID) bool {
	for _, candidate := range ids {
		if candidate == id {
			return true
		}
	}
	return false
}

// tryOwner runs the request at one owner, which may be this instance.
func (e *Engine) tryOwner(ctx context.Context, view *control.View, owner control.Owner, request exchange.Request) attempt.History {
	if owner.Member == view.Members.Self().Member {
		return e.runLocal(ctx, request)
	}
	request.Hops++
	peer := member.Peer{Member: owner.Member, Address: owner.PeerAddress}
	finish := e.loads.trackRequest(request.Service, owner.Member.ID)
	defer finish()
	response, delivered := e.options.Peers.Execute(ctx, peer, request)
	now := e.options.Clock.Now()
	if !delivered {
		if ctx.Err() == nil {
			e.loads.markUnreachable(request.Service, owner.Member.ID, now.Add(avoidDuration))
		}
		return refused(exchange.NoCapacity, "the owner cannot be reached")
	}
	if response.Outcome == fleet.NotRun {
		e.loads.recordLoad(request.Service, owner.Member.ID, response.Load, now)
		return attempt.History{Response: response}
	}
	if response.Load.Slots > 0 {
		// A response that stands for a lost reply carries no load.
		e.loads.recordLoad(request.Service, owner.Member.ID, response.Load, now)
	}
	return attempt.History{Response: response, Attempts: 1, MayHaveRun: true}
}

// Execute runs a request that another instance forwarded on the servers that
// this instance owns. The response carries the load of this instance.
func (e *Engine) Execute(ctx context.Context, request exchange.Request) exchange.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	response := e.runLocal(ctx, request).Response
	if service := e.options.Control.View().Services[request.Service]; service != nil {
		response.Load = service.Pool.Load()
	}
	return response
}

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

// run tries owners of the service until one answers, as far as retries are
// allowed. The context ends at the deadline of the request.
func (e *Engine) run(ctx context.Context, request exchange.Request) exchange.Response {
	var tried []fleet.InstanceID
	all := attempt.History{Response: exchange.Refuse(exchange.NoCapacity, "no owner of the service can be reached")}
	for i := range maxTargets {
		view := e.options.Control.View()
		service := view.Services[request.Service]
		if service == nil {
			return all.Append(refused(exchange.NoService, "service is not configured")).Response
		}
		if i == 0 {
			service.Budget.RecordFirstAttempt()
		}
		target, found := e.choose(view, service, tried)
		if !found {
			return all.Response
		}
		tried = append(tried, target.Member.ID)
		t := e.try(ctx, view, target, request)
		all = all.Append(t)
		if ctx.Err() != nil || !e.again(service, request, t, all) {
			return all.Response
		}
	}
	return all.Response
}

// refused returns the trail of a request that was refused before an attempt.
func refused(code exchange.Code, message string) attempt.History {
	return attempt.History{Response: exchange.Refuse(code, message)}
}

// again decides whether another owner should be tried after the last one.
func (e *Engine) again(service *control.Service, request exchange.Request, last, all attempt.History) bool {
	if last.Attempts == 0 {
		return e.free(request, last)
	}
	return e.retry(service, request, all)
}

// free decides about another attempt after one that reached no server. It adds
// no load to the service and so costs no token of the budget.
func (e *Engine) free(request exchange.Request, last attempt.History) bool {
	return e.options.Clock.Now().Before(request.Deadline) && last.Response.Code != exchange.BadRequest
}

// retry decides about another attempt after one on a server.
func (e *Engine) retry(service *control.Service, request exchange.Request, all attempt.History) bool {
	return all.ShouldRetry(attempt.RetryRules{
		Idempotent:       !request.Protected,
		TimeLeft:         request.Deadline.Sub(e.options.Clock.Now()),
		ExpectedDuration: service.Health.MedianLatency(),
	}) && service.Budget.TakeToken()
}

// choose picks the instance to carry out the request: this one if it has a free
// slot, else the least loaded of this one and two random owners.
func (e *Engine) choose(view *control.View, service *control.Service, tried []fleet.InstanceID) (control.Owner, bool) {
	now := e.options.Clock.Now()
	self := view.Members.Self()
	var best control.Owner
	bestCost := 0.0
	found := false
	consider := func(owner control.Owner, cost float64) {
		if contains(tried, owner.Member.ID) {
			return
		}
		if !found || cost < bestCost {
			best, bestCost, found = owner, cost, true
		}
	}
	if len(service.OwnedServers) > 0 && view.HasLease(now) {
		load := service.Pool.Load()
		consider(control.Owner{Member: self.Member, Domain: self.Domain}, costOf(load))
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
			consider(owner, e.loads.cost(service.Config.Name, owner.Member.ID, now)+hopCost(owner, self))
		}
	}
	if found && bestCost < avoidCost/2 {
		return best, true
	}
	return e.anyOwner(service, self, tried, now)
}

// hopCost prefers owners in the same failure domain while their load is alike.
func hopCost(owner control.Owner, self member.Info) float64 {
	if owner.Domain == self.Domain {
		return 0
	}
	return otherDomainCost
}

// otherDomainCost stands for the extra delay and the cost of links between
// failure domains.
const otherDomainCost = 0.25

// anyOwner returns the first owner, from a random start, that can be tried.
// Those that said that they have no slots come last.
func (e *Engine) anyOwner(service *control.Service, self member.Info, tried []fleet.InstanceID, now time.Time) (control.Owner, bool) {
	count := len(service.Owners)
	if count == 0 {
		return control.Owner{}, false
	}
	var last control.Owner
	found := false
	start := e.options.Random.IntN(count)
	for i := range count {
		owner := service.Owners[(start+i)%count]
		if owner.Member.ID == self.Member.ID || contains(tried, owner.Member.ID) {
			continue
		}
		cost := e.loads.cost(service.Config.Name, owner.Member.ID, now)
		if cost < avoidCost/2 {
			return owner, true
		}
		if !found && cost < avoidCost {
			last, found = owner, true
		}
	}
	return last, found
}

func contains(tried []fleet.InstanceID, id fleet.InstanceID) bool {
	for _, t := range tried {
		if t == id {
			return true
		}
	}
	return false
}

// try lets one owner carry out the request.
func (e *Engine) try(ctx context.Context, view *control.View, target control.Owner, request exchange.Request) attempt.History {
	if target.Member == view.Members.Self().Member {
		return e.runLocal(ctx, request)
	}
	request.Hops++
	to := member.Peer{Member: target.Member, Address: target.PeerAddress}
	end := e.loads.begin(request.Service, target.Member.ID)
	defer end()
	response, delivered := e.options.Peers.Execute(ctx, to, request)
	now := e.options.Clock.Now()
	if !delivered {
		if ctx.Err() == nil {
			e.loads.avoid(request.Service, target.Member.ID, now.Add(avoidFor))
		}
		return refused(exchange.NoCapacity, "the owner cannot be reached")
	}
	if response.Outcome == fleet.NotRun {
		e.loads.report(request.Service, target.Member.ID, response.Load, now)
		return attempt.History{Response: response}
	}
	if response.Load.Slots > 0 {
		// A reply that was lost carries no load.
		e.loads.report(request.Service, target.Member.ID, response.Load, now)
	}
	return attempt.History{Response: response, Attempts: 1, MayHaveRun: true}
}

// Execute carries out a request of another instance on the servers that this
// instance owns.
func (e *Engine) Execute(ctx context.Context, request exchange.Request) exchange.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	response := e.runLocal(ctx, request).Response
	if service := e.options.Control.View().Services[request.Service]; service != nil {
		response.Load = service.Pool.Load()
	}
	return response
}

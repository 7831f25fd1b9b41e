package dispatch

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/route"
)

// Placement says where a request would go now, and why.
type Placement struct {
	At            time.Time
	ConfigVersion fleet.Version
	// Route is the matching route, or nil.
	Route *route.Route
	// Service is the service that is next in the split of the route.
	Service fleet.ServiceName
	// Refusal is the response to the request if it would be refused, or nil.
	Refusal *exchange.Response
	// Servers explains the choice of a server; nil if the request does not get so far.
	Servers *balance.Explanation
}

// Where returns where a request with a body of a size would go now, by the code that serves
// requests. It sends nothing, waits for nothing, and counts nowhere.
func (e *Engine) Where(request exchange.Request, bodyBytes int) Placement {
	now := e.options.Clock.Now()
	r := &requestRun{engine: e, request: request, arrivedAt: now}
	placement := Placement{At: now}
	refuse := func(response exchange.Response) Placement {
		placement.Refusal = &response
		return placement
	}
	table := e.options.ControlState.Routes()
	placement.ConfigVersion = table.Version()
	found, refusal := e.authorize(table, &r.request)
	if found.route != nil {
		placement.Route = &found.route.Route
	}
	// The question names its customer, since it must not contain a key.
	if named, known := table.CustomerNamed(request.Customer); known && found.route != nil {
		found.customer, refusal = named, nil
	}
	if refusal != nil {
		return refuse(*refusal)
	}
	r.grant, r.route = found, found.route
	r.request.Service = found.route.PeekService()
	placement.Service = r.request.Service
	r.request.Deadline = fleet.Earlier(request.Deadline, now.Add(found.route.Timeout))
	for _, check := range []admissionStep{(*requestRun).checkStopPlan, (*requestRun).checkCapacity} {
		if refusal := check(r); refusal != nil {
			return refuse(*refusal)
		}
	}
	r.standing = r.upstream.Shares.Standing(now, r.request.Customer)
	options := r.pickOptions(now, found.route.Idempotent && r.mayTrial(now))
	options.RequestBytes = bodyBytes
	explanation := r.upstream.Servers.Explain(now, options)
	placement.Servers = &explanation
	if explanation.Result != balance.Chosen {
		return refuse(r.finalResponse(explanation.Result))
	}
	return placement
}

package dispatch

import (
	"fmt"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fairness"
)

// recordOffered records the request in the use of its customer.
func (r *requestRun) recordOffered() {
	r.upstream.Shares.RecordOffered(r.arrivedAt, r.request.Customer, r.slotTime())
}

// slotTime returns how long the request is expected to hold a slot.
func (r *requestRun) slotTime() time.Duration {
	return r.upstream.Servers.ExpectedDuration(balance.RequestKind(r.route.Name), r.route.LatencyObjective)
}

// recordPick records the result of a choice of a server in the use of the customer.
func (r *requestRun) recordPick(now time.Time, pickResult balance.PickResult) {
	switch {
	case pickResult == balance.NoRoom:
		r.upstream.Shares.RecordRefused(now, r.request.Customer)
	case pickResult == balance.Chosen && !r.admitted:
		r.admitted = true
		r.upstream.Shares.RecordAdmitted(now, r.request.Customer, r.slotTime())
	}
}

// refuseNoRoom refuses a request for which all queues end too late. The message says
// whether the customer is above its fair share.
func refuseNoRoom(standing fairness.Standing, retryAfter time.Duration) exchange.Response {
	if !standing.Above() {
		return refuseWithRetryAfter(exchange.Overloaded, "the queues of all servers end too late", retryAfter)
	}
	return refuseWithRetryAfter(exchange.FairShare, fmt.Sprintf("the service is overloaded, and the customer uses %.2f slots of a fair share of %.2f", standing.Admitted, standing.FairShare), retryAfter)
}

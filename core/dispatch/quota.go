package dispatch

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
)

// Quotas decides whether the quotas of customers allow requests. It must not block.
type Quotas interface {
	// Admit counts a request of a customer if its quota allows it.
	Admit(now time.Time, customer fleet.Customer) quota.Decision
	// Return takes an admission back.
	Return(now time.Time, customer fleet.Customer)
}

// checkQuota refuses a request whose customer has used its quota. A request is counted once,
// whatever the number of its attempts.
func (r *requestRun) checkQuota() *exchange.Response {
	customer := r.request.Customer
	if r.engine.options.Quotas == nil || customer == "" {
		return nil
	}
	decision := r.engine.options.Quotas.Admit(r.engine.options.Clock.Now(), customer)
	if !decision.OK {
		r.quotaRefusal = &decision
		if decision.Reason == quota.FleetUnknown {
			return refusalOf(refuseWithRetryAfter(exchange.NotReady, "the instance has not heard from others yet and cannot tell how much of the quota is left", decision.RetryAfter))
		}
		return refusalOf(refuseWithRetryAfter(exchange.QuotaExceeded, "the customer has used its quota", decision.RetryAfter))
	}
	r.countedFor = customer
	return nil
}

// renewQuota counts a request that is admitted again for another customer.
func (r *requestRun) renewQuota() *exchange.Response {
	if r.request.Customer == r.countedFor {
		return nil
	}
	r.returnQuota()
	return r.checkQuota()
}

// returnQuota takes the admission of a request back.
func (r *requestRun) returnQuota() {
	if r.countedFor == "" {
		return
	}
	r.engine.options.Quotas.Return(r.engine.options.Clock.Now(), r.countedFor)
	r.countedFor = ""
}

// settleQuota takes the admission of a refused request back if it reached no server.
func (r *requestRun) settleQuota(response exchange.Response) {
	if response.Refused() && response.Outcome == fleet.NotRun && r.history.Attempts == 0 {
		r.returnQuota()
	}
}

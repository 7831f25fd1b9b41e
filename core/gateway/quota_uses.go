package gateway

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/quota"
)

// quotaUses implements fairness.Uses with what the limiter of quotas knows. It knows
// nothing of customers without a quota.
type quotaUses struct{ limiter *quota.Limiter }

// Requests implements fairness.Uses.
func (u quotaUses) Requests(now time.Time, customer fleet.Customer) (own, all float64) {
	usage, _ := u.limiter.Usage(now, customer)
	return usage.Own, usage.Known
}

package pattern

import (
	"time"

	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
)

// quotaBounds are the bounds of the quotas of customers.
var quotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.25, Tolerance: 20}

// Quota is the quota of a customer over all instances from a time on.
type Quota struct {
	From  time.Duration
	Rate  float64
	Burst float64
}

// hasQuotas reports whether a customer has a quota.
func (p *Pattern) hasQuotas() bool {
	for _, c := range p.Customers {
		if len(c.Quotas) > 0 {
			return true
		}
	}
	return false
}

// limiterUses implements fairness.Uses with what the limiter of quotas knows.
type limiterUses struct{ limiter *quota.Limiter }

// Requests implements fairness.Uses.
func (u limiterUses) Requests(now time.Time, customer fleet.Customer) (own, all float64) {
	usage, _ := u.limiter.Usage(now, customer)
	return usage.Own, usage.Known
}

func (i *instance) member() fleet.Member { return fleet.Member{ID: i.id, Incarnation: 1} }

// addLimiters gives the instances limiters of quotas, if a customer has one.
func (y *player) addLimiters() {
	if !y.pattern.hasQuotas() {
		return
	}
	for _, i := range y.instances {
		i.limiter = quota.New(quota.Options{Self: i.member(), Bounds: quotaBounds, Start: y.clock()})
		i.shares = fairness.NewShares(limiterUses{i.limiter})
		y.applyQuotas(i, 0)
		y.after(y.randomTime(y.pattern.ReportInterval), func() { y.reportQuotas(i) })
		for _, c := range y.pattern.Customers {
			for _, q := range c.Quotas {
				if q.From > 0 {
					y.after(q.From+y.randomTime(y.pattern.ConfigDelay), func() { y.applyQuotas(i, q.From) })
				}
			}
		}
	}
}

// randomTime draws a time below a limit.
func (y *player) randomTime(below time.Duration) time.Duration {
	if below <= 0 {
		return 0
	}
	return time.Duration(y.random.Int64N(int64(below)))
}

// applyQuotas gives an instance the configuration with the quotas of a time.
func (y *player) applyQuotas(i *instance, at time.Duration) {
	var limits []quota.Limit
	for _, c := range y.pattern.Customers {
		limit := quota.Limit{Customer: c.Name}
		for _, q := range c.Quotas {
			if q.From <= at {
				limit.RatePerSecond, limit.Burst = q.Rate, q.Burst
			}
		}
		limits = append(limits, limit)
	}
	i.limiter.SetLimits(y.clock(), fleet.Version(at/time.Millisecond)+1, limits)
}

// reportQuotas sends the reports of the quotas of an instance to the others.
func (y *player) reportQuotas(from *instance) {
	if y.now >= y.pattern.Duration {
		return
	}
	peers := quota.Peers{SelfActive: true, Majority: true, Size: len(y.instances)}
	for _, other := range y.instances {
		if other != from {
			peers.Active = append(peers.Active, other.member())
		}
	}
	from.limiter.SetPeers(y.clock(), peers)
	for _, out := range from.limiter.CollectReports(y.clock()) {
		for _, member := range out.Recipients {
			for _, to := range y.instances {
				if to.id == member.ID && y.random.Float64() >= y.pattern.ReportLoss {
					y.after(y.randomTime(y.pattern.ReportDelay), func() { to.limiter.ApplyReport(y.clock(), from.member(), out.Report) })
				}
			}
		}
	}
	y.after(y.pattern.ReportInterval, func() { y.reportQuotas(from) })
}

// admit reports whether the quota of the customer allows the request.
func (y *player) admit(at *instance, r *request) bool {
	return at.limiter == nil || r.customer == "" || at.limiter.Admit(y.clock(), r.customer).OK
}

// returnQuota takes the admission of a request that reached no server back.
func (y *player) returnQuota(at *instance, r *request) {
	if at.limiter != nil && r.customer != "" && !r.reached {
		at.limiter.Return(y.clock(), r.customer)
	}
}

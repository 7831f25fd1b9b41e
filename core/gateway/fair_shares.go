package gateway

import (
	"time"

	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
)

// Excesses returns, for each service, the customers that are above their fair share.
func (v *View) Excesses(now time.Time) map[fleet.ServiceName][]fairness.Excess {
	excesses := make(map[fleet.ServiceName][]fairness.Excess)
	for name, u := range v.upstreams {
		if above := u.Shares.Excesses(now); len(above) > 0 {
			excesses[name] = above
		}
	}
	return excesses
}

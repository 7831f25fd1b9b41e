package quota

import (
	"time"

	"galenaridge/core/fleet"
)

// Usage is what an instance knows of the use of a customer's quota in the last window.
type Usage struct {
	// Own and Known are the use of this instance and of all instances.
	Own   float64
	Known float64
	// Limit is what all instances may admit, Share what this one may.
	Limit float64
	Share float64
	// Reserved is the part of the limit that is left to instances out of contact.
	Reserved float64
	// Refused is the number of requests refused since the start of the process.
	Refused uint64
}

// Usage returns the use of a customer's quota, or false if it has none. It may be called
// concurrently.
func (l *Limiter) Usage(now time.Time, customer fleet.Customer) (Usage, bool) {
	a := l.accounts.Load().byCustomer[customer]
	if a == nil {
		return Usage{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limited {
		return Usage{}, false
	}
	s := a.evaluate(l.policy.Load(), l.epoch.Load(), l.buckets, now)
	return Usage{
		Own:      s.own,
		Known:    s.own + float64(a.others.sum),
		Limit:    a.limit,
		Share:    s.shareOrPart(),
		Reserved: a.reserved,
		Refused:  a.refused,
	}, true
}

// Mode returns what this instance knows about the others that admit requests. It may be
// called concurrently.
func (l *Limiter) Mode() Mode { return l.policy.Load().mode }

// Self returns the member that this limiter belongs to.
func (l *Limiter) Self() fleet.Member { return l.options.Self }

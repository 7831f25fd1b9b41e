package fairness

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Standing is where a customer stands in the use of a service.
type Standing struct {
	// Reserve is the number of requests for which requests of the customer leave room on each
	// server; zero unless the customer is above its fair share.
	Reserve int
	// Admitted is the work of the customer that is admitted, FairShare the fair share, both
	// in slots. They are zero for requests without a customer.
	Admitted  float64
	FairShare float64
}

// Above reports whether the customer is above its fair share.
func (s Standing) Above() bool { return s.Reserve > 0 }

// Standing returns where a customer stands.
func (s *Shares) Standing(now time.Time, customer fleet.Customer) Standing {
	if s == nil || customer == "" {
		return Standing{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.customers[customer]
	if u == nil {
		return Standing{}
	}
	return s.standing(now, u)
}

// Excess is the use of a service by a customer that is above its fair share.
type Excess struct {
	Customer fleet.Customer
	// Admitted is the work of the customer that is admitted, FairShare the fair share, both
	// in slots.
	Admitted  float64
	FairShare float64
	// RefusedPerSecond is the number of its requests that this instance refuses for lack of
	// capacity, on average in the last second.
	RefusedPerSecond float64
}

// Excesses returns the customers that are above their fair share, those with the most
// admitted work first.
func (s *Shares) Excesses(now time.Time) []Excess {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var excesses []Excess
	for customer, u := range s.customers {
		if standing := s.standing(now, u); standing.Above() {
			excesses = append(excesses, Excess{Customer: customer, Admitted: standing.Admitted, FairShare: standing.FairShare, RefusedPerSecond: u.refused.rate(now)})
		}
	}
	slices.SortFunc(excesses, func(a, b Excess) int {
		return cmp.Or(cmp.Compare(b.Admitted, a.Admitted), cmp.Compare(a.Customer, b.Customer))
	})
	return excesses
}

func (s *Shares) standing(now time.Time, u *use) Standing {
	standing := Standing{Admitted: u.scale * u.admitted.rate(now), FairShare: s.share}
	if standing.Admitted > aboveMargin*s.share && s.overloaded(now) {
		standing.Reserve = aboveReserve
	}
	return standing
}

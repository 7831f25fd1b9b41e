package fairness

import (
	"math"
	"slices"
	"sync"
	"time"

	"galenaridge/core/fleet"
)

const (
	// averageTime is the time constant of the moving averages. It is longer than most
	// requests take and shorter than a burst lasts.
	averageTime = time.Second
	// refusalTTL is the time after a refusal for which the service counts as overloaded.
	refusalTTL = time.Second
	// updateInterval is the time between two computations of the fair share. It is longer by
	// updateIntervalPerCustomer for each customer, which bounds the part of a core that they
	// take.
	updateInterval            = 50 * time.Millisecond
	updateIntervalPerCustomer = 50 * time.Microsecond
	// aboveMargin is the multiple of the fair share above which a customer is above it. The
	// averages vary with each request.
	aboveMargin = 1.1
	// aboveReserve is the number of requests for which a customer above its fair share leaves
	// room on each server. One is enough for others to come first, and leaves urgent requests
	// of such a customer before less urgent ones of others, which wait for a free slot.
	aboveReserve = 1
	// minUse is the use in slots below which a customer is forgotten.
	minUse = 1e-3
)

// Uses returns what is known of the use of customers on all instances.
type Uses interface {
	// Requests returns the requests of a customer, to all services, that this instance and
	// that all instances admitted lately. Both are zero if it is not known.
	Requests(now time.Time, customer fleet.Customer) (own, all float64)
}

// Shares holds the use of one service by customer. It is safe for concurrent use. A nil
// Shares treats all customers alike.
type Shares struct {
	uses Uses

	mu        sync.Mutex
	customers map[fleet.Customer]*use
	refusedAt time.Time
	updatedAt time.Time
	// share is the fair share in slots, infinite while there is enough for all.
	share float64
}

// use is the use of one customer. Work is measured in slots: the time that requests hold
// a slot, for each unit of time.
type use struct {
	offered  average
	admitted average
	// refused is the number of refusals for lack of capacity a second.
	refused average
	// scale is the use of all instances as a multiple of the own use. Requests on other
	// instances are taken for requests of the same kinds.
	scale float64
}

// average is a moving average of a rate per second that decays with averageTime.
type average struct {
	value float64
	at    time.Time
}

// add adds an amount.
func (a *average) add(now time.Time, amount float64) {
	a.value = a.rate(now) + amount/averageTime.Seconds()
	a.at = now
}

// rate returns the average at a time.
func (a *average) rate(now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-max(now.Sub(a.at), 0).Seconds()/averageTime.Seconds())
}

// NewShares returns shares without use. The uses of all instances may be nil.
func NewShares(uses Uses) *Shares {
	return &Shares{uses: uses, customers: make(map[fleet.Customer]*use), share: math.Inf(1)}
}

// RecordOffered records a request of a customer that is expected to hold a slot for a time,
// and returns where the customer stands.
func (s *Shares) RecordOffered(now time.Time, customer fleet.Customer, slotTime time.Duration) Standing {
	if s == nil || customer == "" {
		return Standing{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.customers[customer]
	if u == nil {
		u = &use{scale: 1}
		s.customers[customer] = u
	}
	u.offered.add(now, slotTime.Seconds())
	s.update(now)
	return s.standing(now, u)
}

// RecordAdmitted records that a request was sent to a server.
func (s *Shares) RecordAdmitted(now time.Time, customer fleet.Customer, slotTime time.Duration) {
	if s == nil || customer == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.customers[customer]; u != nil {
		u.admitted.add(now, slotTime.Seconds())
	}
}

// RecordRefused records that a request of a customer was refused for lack of capacity. The
// customer may be empty.
func (s *Shares) RecordRefused(now time.Time, customer fleet.Customer) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAt = now
	if u := s.customers[customer]; u != nil {
		u.refused.add(now, 1)
	}
}

// update computes the fair share and forgets customers without use.
func (s *Shares) update(now time.Time) {
	if now.Sub(s.updatedAt) < updateInterval+time.Duration(len(s.customers))*updateIntervalPerCustomer {
		return
	}
	s.updatedAt = now
	offered := make([]float64, 0, len(s.customers))
	capacity := 0.0
	for name, u := range s.customers {
		if u.offered.rate(now) < minUse {
			delete(s.customers, name)
			continue
		}
		u.scale = s.scaleOf(now, name)
		offered = append(offered, u.scale*u.offered.rate(now))
		capacity += u.scale * u.admitted.rate(now)
	}
	s.share = math.Inf(1)
	if s.overloaded(now) {
		s.share = fairShare(offered, capacity)
	}
}

// scaleOf returns the use of a customer on all instances as a multiple of the own use.
func (s *Shares) scaleOf(now time.Time, customer fleet.Customer) float64 {
	if s.uses == nil {
		return 1
	}
	own, all := s.uses.Requests(now, customer)
	if own <= 0 {
		return 1
	}
	return max(all/own, 1)
}

// overloaded reports whether a request was refused lately.
func (s *Shares) overloaded(now time.Time) bool {
	return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalTTL
}

// fairShare returns the largest share so that the least of it and what a customer asks for,
// summed over all customers, is at most the capacity.
func fairShare(offered []float64, capacity float64) float64 {
	slices.Sort(offered)
	left := capacity
	for i, asked := range offered {
		share := left / float64(len(offered)-i)
		if asked > share {
			return share
		}
		left -= asked
	}
	return math.Inf(1)
}

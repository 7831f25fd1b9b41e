package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
)

// Options configures a Limiter.
type Options struct {
	Self   fleet.Member
	Bounds Bounds
	// Start is when the process started.
	Start time.Time
}

// Limiter decides on the admission of requests by the quotas of their customers. Admit,
// Return, Mode and Snapshot may be called concurrently; one goroutine calls all other
// methods.
type Limiter struct {
	options  Options
	buckets  bucketer
	accounts atomic.Pointer[accounts]
	policy   atomic.Pointer[policy]
	// epoch numbers the times at which the knowledge of others began anew.
	epoch atomic.Uint64

	touchedMu sync.Mutex
	touched   []*account

	// The fields below belong to the control goroutine.
	version  fleet.Version
	sequence Sequence
	// sentAt holds when the latest reports were sent.
	sentAt map[Sequence]time.Time
	peers  map[fleet.InstanceID]*peer
	// active is set if this instance is active, and admitting is the number of instances that
	// admit requests, as this one counts them.
	active bool
	// crowded is set while many instances admit requests that are not active.
	crowded   bool
	admitting int
	// minority is set if this instance is not in contact with most of the fleet.
	minority bool
	// ended holds processes that ended lately, for what they may have admitted without a
	// report.
	ended []*peer
	// unreported holds the accounts with use that not all others in contact know.
	unreported map[*account]bool
	ticks      int
	ackCursor  int
	// usedAt is the last time at which this instance was active or admitted requests.
	usedAt time.Time
	// farewells is the number of reports still to be sent that announce the end of that, to
	// the recipients of the latest regular report.
	farewells  int
	recipients []fleet.Member
	// ackedAt is the time of the latest report that all others in contact have.
	ackedAt time.Time
}

// accounts is an immutable index of the customers.
type accounts struct {
	byCustomer map[fleet.Customer]*account
	byKey      map[Key][]*account
	// all also holds the customers that have left the configuration lately.
	all []*account
}

// New returns a limiter that limits no customer.
func New(options Options) *Limiter {
	// Others report use from before the start, which belongs into earlier buckets.
	l := &Limiter{
		options:    options,
		buckets:    bucketer{origin: options.Start.Add(-2 * options.Bounds.Window), length: options.Bounds.Window / windowBuckets},
		sentAt:     make(map[Sequence]time.Time),
		peers:      make(map[fleet.InstanceID]*peer),
		unreported: make(map[*account]bool),
		// Sequences of an earlier process of this instance must not be taken for own ones.
		sequence: Sequence(options.Self.Incarnation),
	}
	l.accounts.Store(&accounts{})
	// Until the first call of SetPeers, nothing is known of the others.
	l.policy.Store(&policy{
		bounds: options.Bounds, at: options.Start, knownSince: options.Start, contactAt: options.Start,
		mode: Isolated, admitting: 1, size: maxFleetSize, even: 1, unknownSince: options.Start,
	})
	l.epoch.Store(1)
	return l
}

// Enabled reports whether there are quotas.
func (l *Limiter) Enabled() bool { return l.options.Bounds.Window > 0 }

// Admit counts a request of a customer if its quota allows it.
func (l *Limiter) Admit(now time.Time, customer fleet.Customer) Decision {
	a := l.accounts.Load().byCustomer[customer]
	if a == nil {
		return Decision{OK: true}
	}
	p := l.policy.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limited {
		return Decision{OK: true}
	}
	s := a.evaluate(p, l.epoch.Load(), l.buckets, now)
	reason := s.reason(p)
	switch {
	case reason == ShareReached && !p.unknownSince.IsZero():
		reason = FleetUnknown
	case p.isStale(now) && s.own+1 > p.allowance(a.limit):
		reason = Stale
	}
	decision := Decision{Reason: reason, Own: s.own, Known: s.known, Limit: a.limit, Share: s.shareOrPart()}
	if reason != Admitted {
		a.refused++
		// An instance that is not active gets no reports before it has sent one itself, and
		// would refuse the next request for the same lack of knowledge.
		l.touch(a)
		decision.RetryAfter = a.retryAfter(s, reason, l.buckets.length)
		if reason == FleetUnknown {
			decision.RetryAfter = p.contactRetryAfter(now)
		}
		return decision
	}
	decision.OK = true
	a.own.add(1)
	if a.credit > 0 {
		a.credit--
	} else {
		a.total++
	}
	l.touch(a)
	return decision
}

// shareOrPart returns what this instance may use: its share if it is out of contact, and
// else what it used and its part of the rest.
func (s state) shareOrPart() float64 {
	if s.share >= 0 {
		return s.share
	}
	return s.own - s.unknown + max(s.part, 0)
}

// Return takes an admission back, for a request that reached no server.
func (l *Limiter) Return(now time.Time, customer fleet.Customer) {
	a := l.accounts.Load().byCustomer[customer]
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.advance(l.buckets.bucket(now))
	if !a.own.takeBack() {
		return
	}
	if a.total > a.reported {
		a.total--
	} else {
		a.credit++
	}
	l.touch(a)
}

// touch adds an account to the list of changed accounts. The lock of the account must be
// held.
func (l *Limiter) touch(a *account) {
	if a.touched {
		return
	}
	a.touched = true
	l.touchedMu.Lock()
	l.touched = append(l.touched, a)
	l.touchedMu.Unlock()
}

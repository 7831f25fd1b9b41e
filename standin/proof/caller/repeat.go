package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// DuplicatingCaller is a caller that sends each protected request several times, under
// the same token and key, to the home and to random other instances.
type DuplicatingCaller struct {
	options Options
	ledger  *OutcomeLog

	mu      sync.Mutex
	rng     *rand.Rand
	tickets map[fleet.ServiceName]*ticket
}

// NewDuplicatingCaller returns a repeater that notes in the ledger what it is told.
func NewDuplicatingCaller(options Options, ledger *OutcomeLog) *DuplicatingCaller {
	return &DuplicatingCaller{
		options: options,
		ledger:  ledger,
		rng:     options.random(),
		tickets: map[fleet.ServiceName]*ticket{},
	}
}

// Copies of a request follow the first one after a random time. Most follow at
// once, so that they meet while the first one runs; some come after its end,
// when the home may have been replaced.
const (
	// MaxDuplicateDelay is the longest time after which a copy follows.
	MaxDuplicateDelay = 3 * time.Second

	maxCopies    = 4
	soonDelay    = 60 * time.Millisecond
	laterDelay   = 500 * time.Millisecond
	soonShare    = 0.6
	laterShare   = 0.9
	ticketTrials = 4
)

// sending is one copy with its time and address.
type sending struct {
	after   time.Duration
	address fleet.Address
}

// Do implements bench.Caller.
func (r *DuplicatingCaller) Do(ctx context.Context, q client.Request) (client.Result, error) {
	t := r.ticket(q.Service)
	if t == nil {
		return client.Result{Outcome: fleet.NotRun, Code: client.NoAssignment, Key: q.Key}, nil
	}
	var mu sync.Mutex
	var copies []told
	best := client.Result{Outcome: fleet.Unknown, Code: client.NoAnswer, Key: q.Key}
	var wait conc.WaitGroup
	for _, one := range r.plan(t) {
		wait.Go(func() {
			if !sleep(ctx, one.after) {
				return
			}
			result, move, err := r.options.RawClient.send(one.address, q, t.Token, time.Now().Add(r.options.RequestTimeout))
			if unsent(err) {
				r.drop(q.Service, t)
				return
			}
			if err != nil || outdated(result.Code) || move && !r.options.IgnoreMove {
				r.drop(q.Service, t)
			}
			mu.Lock()
			defer mu.Unlock()
			copies = append(copies, told{result.Outcome, result.Code, result.Status, string(result.Body)})
			if better(result, best) {
				best = result
			}
		})
	}
	wait.Wait()
	r.ledger.add(q.Key, copies)
	return best, nil
}

// better reports whether a result says more than another one.
func better(a, b client.Result) bool {
	if a.Outcome == fleet.Done {
		// A replay without its body says less than one with it.
		return b.Outcome != fleet.Done || b.Code != ""
	}
	return a.Outcome == fleet.NotRun && b.Outcome == fleet.Unknown
}

// outdated reports whether a refusal means that another token is needed.
func outdated(code exchange.Code) bool {
	switch code {
	case exchange.TokenInvalid, exchange.TokenExpired, exchange.HomeLost, exchange.Stopping, exchange.NotReady:
		return true
	default:
		return false
	}
}

// sleep waits, or returns false at the end of the context.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// plan draws the copies of a request; the first one goes to the home.
func (r *DuplicatingCaller) plan(t *ticket) []sending {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []sending{{address: t.home()}}
	for range r.rng.IntN(maxCopies) {
		limit := MaxDuplicateDelay
		switch draw := r.rng.Float64(); {
		case draw < soonShare:
			limit = soonDelay
		case draw < laterShare:
			limit = laterDelay
		}
		all = append(all, sending{
			after:   time.Duration(r.rng.Int64N(int64(limit))),
			address: r.options.Entries[r.rng.IntN(len(r.options.Entries))],
		})
	}
	return all
}

// ticket returns the ticket in use for a service, or a new one; nil if no
// instance gives one.
func (r *DuplicatingCaller) ticket(service fleet.ServiceName) *ticket {
	r.mu.Lock()
	current := r.tickets[service]
	r.mu.Unlock()
	if current != nil && time.Now().Before(current.ends) {
		return current
	}
	for range ticketTrials {
		r.mu.Lock()
		entry := r.options.Entries[r.rng.IntN(len(r.options.Entries))]
		r.mu.Unlock()
		fresh, err := r.options.RawClient.assign(entry, service, r.options.Domain)
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.tickets[service] = fresh
		r.mu.Unlock()
		return fresh
	}
	return nil
}

// drop forgets a ticket that is of no more use.
func (r *DuplicatingCaller) drop(service fleet.ServiceName, old *ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tickets[service] == old {
		delete(r.tickets, service)
	}
}

// HomeAddress returns the home of the token in use for a service.
func (r *DuplicatingCaller) HomeAddress(service fleet.ServiceName) (fleet.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tickets[service]
	if t == nil {
		return "", false
	}
	return t.home(), true
}

package proof

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// told is what one copy of a protected request was told.
type told struct {
	outcome fleet.Outcome
	code    exchange.Code
	status  int
	body    string
}

// ledger keeps what all copies of each key were told.
type ledger struct {
	mu   sync.Mutex
	keys map[fleet.Key][]told
}

func newLedger() *ledger { return &ledger{keys: map[fleet.Key][]told{}} }

func (l *ledger) add(key fleet.Key, copies []told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = append(l.keys[key], copies...)
}

// account compares what callers were told with what the servers ran.
type account struct {
	keys        int
	copies      int
	twice       []fleet.Key
	falseNotRun []fleet.Key
	falseDone   []fleet.Key
	// differing keys got different answers of servers.
	differing []fleet.Key
	// done keys ran and some copy got the answer; unknown keys have no copy
	// with a definite outcome.
	done    int
	unknown int
	codes   map[exchange.Code]int
}

// verify compares the ledger with how often servers started each key.
func (l *ledger) verify(runs map[fleet.Key]int) account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := account{keys: len(l.keys), codes: map[exchange.Code]int{}}
	for key, copies := range l.keys {
		a.add(key, copies, runs[key])
	}
	return a
}

func (a *account) add(key fleet.Key, copies []told, runs int) {
	a.copies += len(copies)
	if runs > 1 {
		a.twice = append(a.twice, key)
	}
	var notRun, done, differ bool
	body := ""
	for _, c := range copies {
		if c.code != "" {
			a.codes[c.code]++
		}
		switch c.outcome {
		case fleet.NotRun:
			notRun = true
		case fleet.Done:
			done = done || c.status < http.StatusBadRequest
			if c.status == http.StatusOK {
				differ = differ || body != "" && body != c.body
				body = c.body
			}
		case fleet.Unknown:
		}
	}
	if notRun && runs > 0 {
		a.falseNotRun = append(a.falseNotRun, key)
	}
	if done && runs == 0 {
		a.falseDone = append(a.falseDone, key)
	}
	if differ {
		a.differing = append(a.differing, key)
	}
	switch {
	case done:
		a.done++
	case !notRun:
		a.unknown++
	}
}

// merge adds the counts of another load.
func (a *account) merge(b account) {
	a.keys += b.keys
	a.copies += b.copies
	a.twice = append(a.twice, b.twice...)
	a.falseNotRun = append(a.falseNotRun, b.falseNotRun...)
	a.falseDone = append(a.falseDone, b.falseDone...)
	a.differing = append(a.differing, b.differing...)
	a.done += b.done
	a.unknown += b.unknown
}

// repeater is a caller that sends each protected request several times, under
// the same token and key, to the home and to random other instances.
type repeater struct {
	entries []fleet.Address
	domain  fleet.Domain
	wire    *wire
	ledger  *ledger
	// patience bounds one copy.
	patience time.Duration
	// stubborn callers keep an assignment for its lifetime even if an instance
	// asks them to move.
	stubborn bool

	mu      sync.Mutex
	rng     *rand.Rand
	tickets map[fleet.ServiceName]*ticket
}

// Copies of a request follow the first one after a random time. Most follow at
// once, so that they meet while the first one runs; some come after its end,
// when the home may have been replaced.
const (
	maxCopies    = 4
	soonDelay    = 60 * time.Millisecond
	laterDelay   = 500 * time.Millisecond
	longDelay    = 4 * time.Second
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
func (r *repeater) Do(ctx context.Context, q client.Request) (client.Result, error) {
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
			result, move, err := r.wire.send(one.address, q, t.Token, time.Now().Add(r.patience))
			if unsent(err) {
				r.drop(q.Service, t)
				return
			}
			if err != nil || outdated(result.Code) || move && !r.stubborn {
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

// plan draws the copies of a request; the first one goes to the home.
func (r *repeater) plan(t *ticket) []sending {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []sending{{address: t.home()}}
	for range r.rng.IntN(maxCopies) {
		limit := longDelay
		switch draw := r.rng.Float64(); {
		case draw < soonShare:
			limit = soonDelay
		case draw < laterShare:
			limit = laterDelay
		}
		all = append(all, sending{
			after:   time.Duration(r.rng.Int64N(int64(limit))),
			address: r.entries[r.rng.IntN(len(r.entries))],
		})
	}
	return all
}

// ticket returns the ticket in use for a service, or a new one; nil if no
// instance gives one.
func (r *repeater) ticket(service fleet.ServiceName) *ticket {
	r.mu.Lock()
	current := r.tickets[service]
	r.mu.Unlock()
	if current != nil && time.Now().Before(current.ends) {
		return current
	}
	for range ticketTrials {
		r.mu.Lock()
		entry := r.entries[r.rng.IntN(len(r.entries))]
		r.mu.Unlock()
		fresh, err := r.wire.assign(entry, service, r.domain)
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
func (r *repeater) drop(service fleet.ServiceName, old *ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tickets[service] == old {
		delete(r.tickets, service)
	}
}

// home returns the home of the ticket in use for a service.
func (r *repeater) home(service fleet.ServiceName) (fleet.Address, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tickets[service]
	if t == nil {
		return "", false
	}
	return t.home(), true
}

// crowd is several callers that take requests in turn.
type crowd[C interface {
	Do(context.Context, client.Request) (client.Result, error)
}] struct {
	mu      sync.Mutex
	next    int
	callers []C
}

// Do implements bench.Caller.
func (c *crowd[C]) Do(ctx context.Context, q client.Request) (client.Result, error) {
	c.mu.Lock()
	caller := c.callers[c.next%len(c.callers)]
	c.next++
	c.mu.Unlock()
	return caller.Do(ctx, q)
}

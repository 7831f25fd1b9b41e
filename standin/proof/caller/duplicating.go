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
	options  Options
	outcomes *OutcomeLog

	mu          sync.Mutex
	rng         *rand.Rand
	assignments map[fleet.ServiceName]*assignment
}

// NewDuplicatingCaller returns a repeater that notes in the ledger what it is told.
func NewDuplicatingCaller(options Options, outcomes *OutcomeLog) *DuplicatingCaller {
	return &DuplicatingCaller{
		options:     options,
		outcomes:    outcomes,
		rng:         options.random(),
		assignments: map[fleet.ServiceName]*assignment{},
	}
}

// Copies of a request follow the first one after a random time. Most follow at
// once, so that they meet while the first one runs; some come after its end,
// when the home may have been replaced.
const (
	// MaxDuplicateDelay is the longest time after which a copy follows.
	MaxDuplicateDelay = 3 * time.Second

	maxDuplicates      = 4
	shortDelay         = 60 * time.Millisecond
	mediumDelay        = 500 * time.Millisecond
	shortShare         = 0.6
	shortOrMediumShare = 0.9
	maxAssignTries     = 4
)

// plannedSend is one copy with its time and address.
type plannedSend struct {
	delay   time.Duration
	address fleet.Address
}

// Do implements bench.Caller.
func (c *DuplicatingCaller) Do(ctx context.Context, q client.Request) (client.Result, error) {
	t := c.assignment(q.Service)
	if t == nil {
		return client.Result{Outcome: fleet.NotRun, Code: client.NoAssignment, Key: q.Key}, nil
	}
	var mu sync.Mutex
	var results []sendResult
	best := client.Result{Outcome: fleet.Unknown, Code: client.NoAnswer, Key: q.Key}
	var wait conc.WaitGroup
	for _, send := range c.planSends(t) {
		wait.Go(func() {
			if !sleep(ctx, send.delay) {
				return
			}
			result, move, err := c.options.RawClient.send(send.address, q, t.Token, time.Now().Add(c.options.RequestTimeout))
			if isConnectError(err) {
				c.dropAssignment(q.Service, t)
				return
			}
			if err != nil || needsNewAssignment(result.Code) || move && !c.options.IgnoreMove {
				c.dropAssignment(q.Service, t)
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, sendResult{result.Outcome, result.Code, result.Status, string(result.Body)})
			if moreDefinite(result, best) {
				best = result
			}
		})
	}
	wait.Wait()
	c.outcomes.add(q.Key, results)
	return best, nil
}

// moreDefinite reports whether a result says more than another one.
func moreDefinite(a, b client.Result) bool {
	if a.Outcome == fleet.Done {
		// A replay without its body says less than one with it.
		return b.Outcome != fleet.Done || b.Code != ""
	}
	return a.Outcome == fleet.NotRun && b.Outcome == fleet.Unknown
}

// needsNewAssignment reports whether a refusal means that another token is needed.
func needsNewAssignment(code exchange.Code) bool {
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

// planSends draws the copies of a request; the first one goes to the home.
func (c *DuplicatingCaller) planSends(t *assignment) []plannedSend {
	c.mu.Lock()
	defer c.mu.Unlock()
	sends := []plannedSend{{address: t.homeAddress()}}
	for range c.rng.IntN(maxDuplicates) {
		maxDelay := MaxDuplicateDelay
		switch random := c.rng.Float64(); {
		case random < shortShare:
			maxDelay = shortDelay
		case random < shortOrMediumShare:
			maxDelay = mediumDelay
		}
		sends = append(sends, plannedSend{
			delay:   time.Duration(c.rng.Int64N(int64(maxDelay))),
			address: c.options.Entries[c.rng.IntN(len(c.options.Entries))],
		})
	}
	return sends
}

// assignment returns the ticket in use for a service, or a new one; nil if no
// instance gives one.
func (c *DuplicatingCaller) assignment(service fleet.ServiceName) *assignment {
	c.mu.Lock()
	current := c.assignments[service]
	c.mu.Unlock()
	if current != nil && time.Now().Before(current.expiresAt) {
		return current
	}
	for range maxAssignTries {
		c.mu.Lock()
		entry := c.options.Entries[c.rng.IntN(len(c.options.Entries))]
		c.mu.Unlock()
		assigned, err := c.options.RawClient.requestAssignment(entry, service, c.options.Domain)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.assignments[service] = assigned
		c.mu.Unlock()
		return assigned
	}
	return nil
}

// dropAssignment forgets a ticket that is of no more use.
func (c *DuplicatingCaller) dropAssignment(service fleet.ServiceName, rejected *assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.assignments[service] == rejected {
		delete(c.assignments, service)
	}
}

// HomeAddress returns the home of the token in use for a service.
func (c *DuplicatingCaller) HomeAddress(service fleet.ServiceName) (fleet.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.assignments[service]
	if t == nil {
		return "", false
	}
	return t.homeAddress(), true
}

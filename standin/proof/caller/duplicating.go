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

// DuplicatingCaller sends each protected request several times, with the same
// token and key: once to the home and some duplicates to random instances.
type DuplicatingCaller struct {
	options  Options
	outcomes *OutcomeLog

	mu          sync.Mutex
	rng         *rand.Rand
	assignments map[fleet.ServiceName]*assignment
}

// NewDuplicatingCaller returns a caller that adds the result of each send to
// outcomes. A send without a connection has no result.
func NewDuplicatingCaller(options Options, outcomes *OutcomeLog) *DuplicatingCaller {
	return &DuplicatingCaller{
		options:     options,
		outcomes:    outcomes,
		rng:         options.random(),
		assignments: map[fleet.ServiceName]*assignment{},
	}
}

// Duplicates of a request follow the first send after a random delay. A share
// of shortShare follows within shortDelay, so that most duplicates arrive while
// the first send runs. A share of shortOrMediumShare follows within mediumDelay.
// The others may arrive after the end of the first send, when the home may have
// been replaced.
const (
	// MaxDuplicateDelay is the longest delay of a duplicate.
	MaxDuplicateDelay = 3 * time.Second

	// maxSends includes the first send.
	maxSends           = 4
	shortDelay         = 60 * time.Millisecond
	mediumDelay        = 500 * time.Millisecond
	shortShare         = 0.6
	shortOrMediumShare = 0.9
	maxAssignTries     = 4
)

// plannedSend is one send of a request: its address, and its delay after the
// first send.
type plannedSend struct {
	delay   time.Duration
	address fleet.Address
}

// Do sends a request and its duplicates, and returns the most definite result.
// It implements bench.Caller.
func (c *DuplicatingCaller) Do(ctx context.Context, q client.Request) (client.Result, error) {
	current := c.ensureAssignment(q.Service)
	if current == nil {
		return client.Result{Outcome: fleet.NotRun, Code: client.NoAssignment, Key: q.Key}, nil
	}
	var mu sync.Mutex
	var results []sendResult
	best := client.Result{Outcome: fleet.Unknown, Code: client.NoAnswer, Key: q.Key}
	var wait conc.WaitGroup
	for _, send := range c.planSends(current) {
		wait.Go(func() {
			if !sleep(ctx, send.delay) {
				return
			}
			result, move, err := c.options.RawClient.send(send.address, q, current.Token, time.Now().Add(c.options.RequestTimeout))
			if isConnectError(err) {
				c.dropAssignment(q.Service, current)
				return
			}
			if err != nil || needsNewAssignment(result.Code) || move && !c.options.IgnoreMove {
				c.dropAssignment(q.Service, current)
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

// moreDefinite reports whether result a is more definite than result b: done
// before not run, not run before unknown.
func moreDefinite(a, b client.Result) bool {
	if a.Outcome == fleet.Done {
		// A done result with a code is a replay without the response body, and
		// is less definite than one with the body.
		return b.Outcome != fleet.Done || b.Code != ""
	}
	return a.Outcome == fleet.NotRun && b.Outcome == fleet.Unknown
}

// needsNewAssignment reports whether a refusal with this code shows that the
// assignment and its token are no longer usable.
func needsNewAssignment(code exchange.Code) bool {
	switch code {
	case exchange.TokenInvalid, exchange.TokenExpired, exchange.HomeLost, exchange.Stopping, exchange.NotReady:
		return true
	default:
		return false
	}
}

// sleep waits for d. It returns false if the context ends first.
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

// planSends chooses the addresses and delays of the sends of a request. The
// first send goes to the home without a delay.
func (c *DuplicatingCaller) planSends(current *assignment) []plannedSend {
	c.mu.Lock()
	defer c.mu.Unlock()
	sends := []plannedSend{{address: current.homeAddress()}}
	for range c.rng.IntN(maxSends) {
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

// ensureAssignment returns the current assignment for a service, or requests a
// new one from random instances. It returns nil if none of them assigns.
func (c *DuplicatingCaller) ensureAssignment(service fleet.ServiceName) *assignment {
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

// dropAssignment removes an assignment unless it was replaced already.
func (c *DuplicatingCaller) dropAssignment(service fleet.ServiceName, rejected *assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.assignments[service] == rejected {
		delete(c.assignments, service)
	}
}

// HomeAddress returns the address of the home in the current assignment for a
// service, or false without an assignment.
func (c *DuplicatingCaller) HomeAddress(service fleet.ServiceName) (fleet.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.assignments[service]
	if current == nil {
		return "", false
	}
	return current.homeAddress(), true
}

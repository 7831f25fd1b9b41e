package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenaridge/client"
	"galenaridge/core/fleet"
)

// StickyCaller is a caller that keeps an assignment for its whole lifetime, also
// when an instance asks it to move, and sends each request once.
type StickyCaller struct {
	options Options

	mu          sync.Mutex
	rng         *rand.Rand
	assignments map[fleet.ServiceName]*assignment
	// refusedConnections counts connections that were refused.
	refusedConnections int
}

// NewStickyCaller returns a keeper without an assignment.
func NewStickyCaller(options Options) *StickyCaller {
	return &StickyCaller{options: options, rng: options.random(), assignments: map[fleet.ServiceName]*assignment{}}
}

// RefusedConnections counts the connections that were refused.
func (c *StickyCaller) RefusedConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedConnections
}

// Do implements bench.Caller.
func (c *StickyCaller) Do(_ context.Context, q client.Request) (client.Result, error) {
	deadline := time.Now().Add(c.options.RequestTimeout)
	result := client.Result{Outcome: fleet.NotRun, Code: client.Unreachable, Key: q.Key}
	for range maxAssignTries {
		t := c.assignment(q.Service)
		if t == nil {
			continue
		}
		token := ""
		address := c.randomAddress(t)
		if q.Protected {
			token, address = t.Token, t.homeAddress()
		}
		response, _, err := c.options.RawClient.send(address, q, token, deadline)
		if !isConnectError(err) {
			return response, err
		}
		c.dropRefused(q.Service, t)
	}
	return result, nil
}

// assignment returns the ticket in use or asks random instances for one.
func (c *StickyCaller) assignment(service fleet.ServiceName) *assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.assignments[service]; t != nil && time.Now().Before(t.expiresAt) {
		return t
	}
	for range maxAssignTries {
		t, err := c.options.RawClient.requestAssignment(c.options.Entries[c.rng.IntN(len(c.options.Entries))], service, c.options.Domain)
		if err == nil {
			c.assignments[service] = t
			return t
		}
	}
	return nil
}

// randomAddress returns a random one of the assigned addresses.
func (c *StickyCaller) randomAddress(t *assignment) fleet.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.Addresses[c.rng.IntN(len(t.Addresses))].Address
}

func (c *StickyCaller) dropRefused(service fleet.ServiceName, rejected *assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedConnections++
	if c.assignments[service] == rejected {
		delete(c.assignments, service)
	}
}

package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenaridge/client"
	"galenaridge/core/fleet"
)

// StickyCaller keeps an assignment for its whole lifetime, even if an instance
// requests that it moves, and sends each request once. Only a refused
// connection ends an assignment earlier.
type StickyCaller struct {
	options Options

	mu                 sync.Mutex
	rng                *rand.Rand
	assignments        map[fleet.ServiceName]*assignment
	refusedConnections int
}

// NewStickyCaller returns a caller without an assignment.
func NewStickyCaller(options Options) *StickyCaller {
	return &StickyCaller{options: options, rng: options.random(), assignments: map[fleet.ServiceName]*assignment{}}
}

// RefusedConnections returns how many connections could not be made.
func (c *StickyCaller) RefusedConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedConnections
}

// Do sends a request. It retries with another address or assignment only if no
// connection could be made. It implements bench.Caller.
func (c *StickyCaller) Do(_ context.Context, q client.Request) (client.Result, error) {
	deadline := time.Now().Add(c.options.RequestTimeout)
	result := client.Result{Outcome: fleet.NotRun, Code: client.Unreachable, Key: q.Key}
	for range maxAssignTries {
		current := c.ensureAssignment(q.Service)
		if current == nil {
			continue
		}
		token := ""
		address := c.randomAddress(current)
		if q.Protected {
			token, address = current.Token, current.homeAddress()
		}
		response, _, err := c.options.RawClient.send(address, q, token, deadline)
		if !isConnectError(err) {
			return response, err
		}
		c.dropAfterRefusal(q.Service, current)
	}
	return result, nil
}

// ensureAssignment returns the current assignment for a service, or requests a
// new one from random instances. It returns nil if none of them assigns.
func (c *StickyCaller) ensureAssignment(service fleet.ServiceName) *assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.assignments[service]; current != nil && time.Now().Before(current.expiresAt) {
		return current
	}
	for range maxAssignTries {
		assigned, err := c.options.RawClient.requestAssignment(c.options.Entries[c.rng.IntN(len(c.options.Entries))], service, c.options.Domain)
		if err == nil {
			c.assignments[service] = assigned
			return assigned
		}
	}
	return nil
}

// randomAddress returns a random address of the assignment.
func (c *StickyCaller) randomAddress(current *assignment) fleet.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return current.Addresses[c.rng.IntN(len(current.Addresses))].Address
}

// dropAfterRefusal counts a refused connection and removes the assignment,
// unless it was replaced already.
func (c *StickyCaller) dropAfterRefusal(service fleet.ServiceName, rejected *assignment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedConnections++
	if c.assignments[service] == rejected {
		delete(c.assignments, service)
	}
}

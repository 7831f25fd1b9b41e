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

	mu      sync.Mutex
	rng     *rand.Rand
	tickets map[fleet.ServiceName]*ticket
	// refused counts connections that were refused.
	refused int
}

// NewStickyCaller returns a keeper without an assignment.
func NewStickyCaller(options Options) *StickyCaller {
	return &StickyCaller{options: options, rng: options.random(), tickets: map[fleet.ServiceName]*ticket{}}
}

// RefusedConnections counts the connections that were refused.
func (k *StickyCaller) RefusedConnections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refused
}

// Do implements bench.Caller.
func (k *StickyCaller) Do(_ context.Context, q client.Request) (client.Result, error) {
	deadline := time.Now().Add(k.options.RequestTimeout)
	result := client.Result{Outcome: fleet.NotRun, Code: client.Unreachable, Key: q.Key}
	for range ticketTrials {
		t := k.ticket(q.Service)
		if t == nil {
			continue
		}
		token := ""
		address := k.address(t)
		if q.Protected {
			token, address = t.Token, t.home()
		}
		sent, _, err := k.options.RawClient.send(address, q, token, deadline)
		if !unsent(err) {
			return sent, err
		}
		k.drop(q.Service, t)
	}
	return result, nil
}

// ticket returns the ticket in use or asks random instances for one.
func (k *StickyCaller) ticket(service fleet.ServiceName) *ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.tickets[service]; t != nil && time.Now().Before(t.ends) {
		return t
	}
	for range ticketTrials {
		t, err := k.options.RawClient.assign(k.options.Entries[k.rng.IntN(len(k.options.Entries))], service, k.options.Domain)
		if err == nil {
			k.tickets[service] = t
			return t
		}
	}
	return nil
}

// address returns a random one of the assigned addresses.
func (k *StickyCaller) address(t *ticket) fleet.Address {
	k.mu.Lock()
	defer k.mu.Unlock()
	return t.Addresses[k.rng.IntN(len(t.Addresses))].Address
}

func (k *StickyCaller) drop(service fleet.ServiceName, old *ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused++
	if k.tickets[service] == old {
		delete(k.tickets, service)
	}
}

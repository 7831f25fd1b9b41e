package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenaridge/client"
	"galenaridge/core/fleet"
)

// Options configures a caller.
type Options struct {
	// Entries are the caller addresses of all instances.
	Entries []fleet.Address
	// Domain is the failure domain whose instances are preferred.
	Domain    fleet.Domain
	RawClient *RawClient
	// RequestTimeout bounds each send.
	RequestTimeout time.Duration
	// IgnoreMove keeps an assignment for its lifetime, even if an instance
	// requests that the caller moves.
	IgnoreMove bool
	// Seed and CallerNumber set the random choices of the caller. CallerNumber
	// differs between the callers of one seed.
	Seed         uint64
	CallerNumber uint64
}

func (o Options) random() *rand.Rand { return rand.New(rand.NewPCG(o.Seed, o.CallerNumber)) }

// Doer sends one request.
type Doer interface {
	Do(ctx context.Context, request client.Request) (client.Result, error)
}

// RoundRobin distributes requests over several callers in turn. It is safe for
// concurrent use if the callers are.
type RoundRobin[C Doer] struct {
	Callers []C

	mu        sync.Mutex
	nextIndex int
}

// Do sends a request with the next caller. It implements bench.Caller.
func (c *RoundRobin[C]) Do(ctx context.Context, q client.Request) (client.Result, error) {
	c.mu.Lock()
	caller := c.Callers[c.nextIndex%len(c.Callers)]
	c.nextIndex++
	c.mu.Unlock()
	return caller.Do(ctx, q)
}

package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenaridge/client"
	"galenaridge/core/fleet"
)

// Options says how a caller reaches its fleet.
type Options struct {
	// Entries are the addresses of all instances.
	Entries []fleet.Address
	// Domain is the failure domain whose instances are preferred.
	Domain    fleet.Domain
	RawClient *RawClient
	// RequestTimeout bounds each request on the wire.
	RequestTimeout time.Duration
	// IgnoreMove callers keep an assignment for its lifetime even if an instance
	// asks them to move.
	IgnoreMove bool
	// Seed and Number make the choices of one caller of many repeatable.
	Seed         uint64
	CallerNumber uint64
}

func (o Options) random() *rand.Rand { return rand.New(rand.NewPCG(o.Seed, o.CallerNumber)) }

// Doer sends one request.
type Doer interface {
	Do(ctx context.Context, request client.Request) (client.Result, error)
}

// RoundRobin is several callers that take requests in turn.
type RoundRobin[C Doer] struct {
	Callers []C

	mu        sync.Mutex
	nextIndex int
}

// Do implements bench.Caller.
func (c *RoundRobin[C]) Do(ctx context.Context, q client.Request) (client.Result, error) {
	c.mu.Lock()
	caller := c.Callers[c.nextIndex%len(c.Callers)]
	c.nextIndex++
	c.mu.Unlock()
	return caller.Do(ctx, q)
}

package admission

import (
	"context"
	"time"

	"galenaridge/core/fleet"
)

// Options configures a pool; zero values take the defaults.
type Options struct {
	// Queue is how many requests may wait; tenants share it by weight.
	Queue int
	// Service is the mean service time that is assumed before one is measured.
	Service time.Duration
}

// ServerSlots says how a server may be used.
type ServerSlots struct {
	Server fleet.ServerID
	Slots  fleet.Slots
	Use    Use
}

// Ask describes a request that needs a slot.
type Ask struct {
	Tenant fleet.Tenant
	// Weight is the tenant's share relative to other tenants; at least 1.
	Weight int
	// Protected requests go before other requests of the same tenant.
	Protected bool
	// Idempotent requests may be given to servers on trial.
	Idempotent bool
	// Deadline is when the whole response is due; zero if there is none.
	Deadline time.Time
	// Exclude lists servers that earlier attempts of the request used.
	Exclude []fleet.ServerID
}

// Pool hands out the slots of the owned servers of one service. All methods
// may be called concurrently.
type Pool struct{}

// New returns a pool without servers.
func New(clock fleet.Clock, options Options) *Pool { return &Pool{} }

// Grant is the right to run one request on a slot of a server.
type Grant struct {
	Server fleet.ServerID
	// Slot is the index of the slot, below the server's slots.
	Slot int
	// Waited is the time in the queue.
	Waited time.Duration
}

// Acquire waits for a slot. Its context should end at the deadline of the
// request. The errors have the predicates Overloaded, IsExpired, IsCanceled,
// IsNoCapacity and IsDrained; with each of them nothing was run.
func (p *Pool) Acquire(ctx context.Context, ask Ask) (*Grant, error) { return nil, errNoCapacity }

// Release gives the slot back; only the first call has an effect.
func (g *Grant) Release() {}

// SetServers replaces the list of servers. Requests in flight on a server
// that is no longer listed keep their slots until they end.
func (p *Pool) SetServers(servers []ServerSlots) {}

// Drain ends new work on a server, and closes the channel when no request is
// in flight on it. The server takes work again only after Resume, or after it
// was missing from a call of SetServers.
func (p *Pool) Drain(server fleet.ServerID) <-chan struct{} { return nil }

// Resume undoes Drain.
func (p *Pool) Resume(server fleet.ServerID) {}

// Expire refuses waiting requests whose deadline has passed. The control
// goroutine calls it on its tick.
func (p *Pool) Expire(now time.Time) {}

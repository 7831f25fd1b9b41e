package admission

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
)

const (
	// defaultQueue is enough for the longest deadline of 5 s at 4 slots on 10
	// servers and a service time of 100 ms.
	defaultQueue = 2048
	// defaultService is assumed before a service time is measured.
	defaultService = 50 * time.Millisecond
	// meanWeight is the inverse weight of one service time in the mean and in
	// the deviation.
	meanWeight = 32
	// deviations is how many mean deviations above the mean a service time is
	// expected to be at most; twice covers nearly all of a bounded spread.
	deviations = 2
	// minAfter and maxAfter bound the time after which a refused request may
	// be sent again.
	minAfter = 50 * time.Millisecond
	maxAfter = 5 * time.Second
)

// Options configures a pool; zero values take the defaults.
type Options struct {
	// QueueSize is how many requests may wait; tenants share it by weight.
	QueueSize int
	// ServiceTime is the mean service time that is assumed before one is measured.
	ServiceTime time.Duration
}

// ServerSlots says how a server may be used.
type ServerSlots struct {
	Server fleet.ServerID
	Slots  fleet.Slots
	Use    Use
	// UseUntil is when the server becomes one of last resort, whatever Use says;
	// zero means never. It is the end of the ejection permit, so that the
	// server returns in time even if the control goroutine is late.
	UseUntil time.Time
}

// Request describes a request that needs a slot.
type Request struct {
	Tenant fleet.Tenant
	// TenantWeight is the tenant's share relative to other tenants; at least 1.
	TenantWeight int
	// Protected requests go before other requests of the same tenant.
	Protected bool
	// Idempotent requests may be given to servers on trial.
	Idempotent bool
	// Deadline is when the whole response is due; zero if there is none.
	Deadline time.Time
	// Exclude lists servers that earlier attempts of the request used. It must
	// not change while the request waits.
	Exclude []fleet.ServerID
}

// Pool hands out the slots of the owned servers of one service. All methods
// may be called concurrently.
type Pool struct {
	clock fleet.Clock
	size  int
	// load is the packed result of Load.
	load atomic.Uint64

	mu      sync.Mutex
	servers servers
	queue   queue
	// mean and deviation are those of recent service times.
	mean      time.Duration
	deviation time.Duration
	// held lists the slots that come free later.
	held []held
}

// held is a slot that comes free at a time.
type held struct {
	grant *Grant
	until time.Time
}

// New returns a pool without servers.
func New(clock fleet.Clock, options Options) *Pool {
	if options.QueueSize <= 0 {
		options.QueueSize = defaultQueue
	}
	if options.ServiceTime <= 0 {
		options.ServiceTime = defaultService
	}
	return &Pool{
		clock:   clock,
		size:    options.QueueSize,
		servers: servers{byID: make(map[fleet.ServerID]*server)},
		queue:   queue{tenants: make(map[fleet.Tenant]*tenant)},
		mean:    options.ServiceTime,
	}
}

// Grant is the right to run one request on a slot of a server.
type Grant struct {
	Server fleet.ServerID
	// Slot is the index of the slot, below the server's slots.
	Slot int
	// Waited is the time in the queue.
	Waited time.Duration

	pool     *Pool
	server   *server
	since    time.Time
	released bool
}

// Acquire waits for a slot. Its context should end at the deadline of the
// request. The errors have the predicates Overloaded, IsExpired, IsCanceled,
// IsNoCapacity and IsDrained; with each of them nothing was run.
func (p *Pool) Acquire(ctx context.Context, ask Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, translate(err)
	}
	grant, w, err := p.enter(p.clock.Now(), &ask)
	if w == nil {
		return grant, err
	}
	select {
	case <-w.ready:
		return w.grant, w.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, translate(ctx.Err())
	}
}

// translate returns the error of this package for one of a context.
func translate(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errExpired
	}
	return errCanceled
}

// enter grants a slot at once, queues the request, or refuses it.
func (p *Pool) enter(now time.Time, ask *Request) (*Grant, *waiter, error) {
	p.mu.Lock()
	defer p.unlock()
	if ask.expired(now) {
		return nil, nil, errExpired
	}
	p.servers.lapse(now)
	if err := p.servers.refusal(ask); err != nil {
		return nil, nil, err
	}
	if s := p.immediate(ask); s != nil {
		return p.grant(now, now, s), nil, nil
	}
	if err := p.overloaded(now, ask); err != nil {
		return nil, nil, err
	}
	w := &waiter{ask: *ask, since: now, ready: make(chan struct{})}
	p.queue.push(w)
	p.dispatch(now)
	return nil, w, nil
}

// grant takes a slot of a server that has a free one.
func (p *Pool) grant(now, since time.Time, s *server) *Grant {
	g := &Grant{Server: s.id, Waited: now.Sub(since), pool: p, server: s, since: now}
	p.servers.update(s, func(s *server) { g.Slot = s.take() })
	return g
}

// dispatch gives free slots to waiting requests.
func (p *Pool) dispatch(now time.Time) {
	p.queue.dispatch(&p.servers, func(w *waiter) error { return p.late(now, w) }, func(w *waiter, s *server) *Grant {
		return p.grant(now, w.since, s)
	})
}

// unlock publishes the load and ends the critical section.
func (p *Pool) unlock() {
	p.load.Store(packLoad(p.servers.slots+p.servers.trials, p.servers.busy, p.queue.waiting))
	p.mu.Unlock()
}

// abandon gives up on a waiting request. It may have been granted a slot at
// the same moment, which then goes to the next one.
func (p *Pool) abandon(w *waiter) {
	p.mu.Lock()
	queued := w.element != nil
	if queued {
		p.queue.remove(w)
	}
	p.unlock()
	if !queued && w.grant != nil {
		w.grant.Release()
	}
}

// Release gives the slot back; only the first call has an effect.
func (g *Grant) Release() {
	p := g.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.unlock()
	if g.released {
		return
	}
	g.released = true
	p.servers.lapse(now)
	p.learn(now.Sub(g.since))
	p.free(g)
	p.dispatch(now)
}

// ReleaseAfter gives the slot back at the first call of Expire after a time,
// in which the server may still work on the request; only the first call of
// this or of Release has an effect.
func (g *Grant) ReleaseAfter(hold time.Duration) {
	p := g.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.unlock()
	if g.released {
		return
	}
	g.released = true
	p.learn(now.Sub(g.since))
	p.held = append(p.held, held{g, now.Add(hold)})
}

// free marks the slot of a grant as free.
func (p *Pool) free(g *Grant) {
	p.servers.update(g.server, func(s *server) { s.busy &^= 1 << g.Slot })
}

// freeHeld frees the held slots whose time has come.
func (p *Pool) freeHeld(now time.Time) {
	p.held = slices.DeleteFunc(p.held, func(h held) bool {
		due := !now.Before(h.until)
		if due {
			p.free(h.grant)
		}
		return due
	})
}

// learn adds a service time to the mean and the deviation.
func (p *Pool) learn(took time.Duration) {
	off := took - p.mean
	p.mean += off / meanWeight
	p.deviation += (off.Abs() - p.deviation) / meanWeight
}

// SetServers replaces the list of servers. Requests in flight on a server
// that is no longer listed keep their slots until they end.
func (p *Pool) SetServers(listed []ServerSlots) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.unlock()
	p.servers.set(listed)
	p.servers.lapse(now)
	p.queue.sweep(p.servers.refusal)
	p.dispatch(now)
}

// Drain ends new work on a server, and closes the channel when no request is
// in flight on it. The server takes work again only after Resume, or after it
// was missing from a call of SetServers.
func (p *Pool) Drain(id fleet.ServerID) <-chan struct{} {
	idle := make(chan struct{})
	p.mu.Lock()
	defer p.unlock()
	s, known := p.servers.byID[id]
	if !known {
		close(idle)
		return idle
	}
	if s.idle != nil {
		idle = s.idle
	}
	p.servers.update(s, func(s *server) { s.draining, s.idle = true, idle })
	p.queue.sweep(p.servers.refusal)
	return idle
}

// Resume undoes Drain.
func (p *Pool) Resume(id fleet.ServerID) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.unlock()
	if s, known := p.servers.byID[id]; known {
		p.servers.update(s, func(s *server) { s.draining = false })
		p.dispatch(now)
	}
}

// Expire refuses waiting requests whose deadline has passed, and frees the
// slots that were held for a time. The control goroutine calls it on its tick.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.unlock()
	p.servers.lapse(now)
	p.freeHeld(now)
	p.queue.sweep(func(ask *Request) error {
		if ask.expired(now) {
			return errExpired
		}
		return nil
	})
	p.dispatch(now)
}

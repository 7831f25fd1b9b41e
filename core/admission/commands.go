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
	// defaultQueueSize suffices for 10 servers with 4 slots, a service time of
	// 100 ms and the longest deadline of 5 s.
	defaultQueueSize = 2048
	// defaultServiceTime is the mean service time before one is measured.
	defaultServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the inverse weight of a new service time in the moving
	// mean and the moving mean deviation.
	serviceTimeWeight = 32
	// deviationFactor is the number of mean deviations above the mean up to which
	// service times are expected; 2 covers nearly all of a bounded distribution.
	deviationFactor = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused request
	// may be retried.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Options configures a pool; zero values select the defaults.
type Options struct {
	// QueueSize is the number of requests that may wait, which customers share by
	// weight.
	QueueSize int
	// ServiceTime is the mean service time before one is measured.
	ServiceTime time.Duration
}

// ServerSlots describes how a server may be used.
type ServerSlots struct {
	Server fleet.ServerID
	Slots  fleet.Slots
	Use    Use
	// UseUntil is when Use changes to LastResort from any other value; zero means
	// never. It is the end of the ejection permit, so that the server gets
	// requests again in time even if the control goroutine is late.
	UseUntil time.Time
}

// Request describes a request that needs a slot.
type Request struct {
	Customer fleet.Customer
	// CustomerWeight is the customer's share relative to other customers; values below 1
	// count as 1.
	CustomerWeight int
	// Protected requests are served before other requests of the same customer.
	Protected bool
	// Idempotent requests may run on servers on trial.
	Idempotent bool
	// Deadline is when the whole response is due; zero if there is none.
	Deadline time.Time
	// Exclude lists servers that the request must not run on, as earlier attempts
	// used them. It must not change while the request waits.
	Exclude []fleet.ServerID
}

// Pool grants the slots of the owned servers of one service to requests. All
// methods may be called concurrently.
type Pool struct {
	clock     fleet.Clock
	queueSize int
	// packedLoad holds the result of Load in the form of packLoad.
	packedLoad atomic.Uint64

	mu      sync.Mutex
	servers serverSet
	queue   queue
	// meanServiceTime and serviceTimeDeviation are the moving mean and the moving
	// mean deviation of service times.
	meanServiceTime      time.Duration
	serviceTimeDeviation time.Duration
	// heldSlots lists the slots that stay busy for a time after their release.
	heldSlots []heldSlot
}

// heldSlot is a released slot that becomes free at a later time.
type heldSlot struct {
	grant *Grant
	until time.Time
}

// New returns a pool without servers.
func New(clock fleet.Clock, options Options) *Pool {
	if options.QueueSize <= 0 {
		options.QueueSize = defaultQueueSize
	}
	if options.ServiceTime <= 0 {
		options.ServiceTime = defaultServiceTime
	}
	return &Pool{
		clock:           clock,
		queueSize:       options.QueueSize,
		servers:         serverSet{byID: make(map[fleet.ServerID]*server)},
		queue:           queue{customers: make(map[fleet.Customer]*customer)},
		meanServiceTime: options.ServiceTime,
	}
}

// Grant is the right to run one request on a slot of a server.
type Grant struct {
	Server fleet.ServerID
	// Slot is the index of the slot, below the server's number of slots.
	Slot int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration

	pool      *Pool
	server    *server
	grantedAt time.Time
	released  bool
}

// Acquire waits for a slot. The context should end at the deadline of the
// request. The predicates of the errors are Overloaded, IsExpired, IsCanceled,
// IsNoCapacity and IsDrained; with each of these errors the request did not run.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	grant, w, err := p.grantOrQueue(p.clock.Now(), &request)
	if w == nil {
		return grant, err
	}
	select {
	case <-w.ready:
		return w.grant, w.err
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, contextError(ctx.Err())
	}
}

// contextError converts the error of a context into an error of this package.
func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errExpired
	}
	return errCanceled
}

// grantOrQueue grants a free slot, queues the request, or refuses it with an
// error.
func (p *Pool) grantOrQueue(now time.Time, request *Request) (*Grant, *waiter, error) {
	p.mu.Lock()
	defer p.publishAndUnlock()
	if request.expired(now) {
		return nil, nil, errExpired
	}
	p.servers.endExpiredUses(now)
	if err := p.servers.refusalError(request); err != nil {
		return nil, nil, err
	}
	if s := p.immediateServer(request); s != nil {
		return p.grantSlot(now, now, s), nil, nil
	}
	if err := p.checkOverload(now, request); err != nil {
		return nil, nil, err
	}
	w := &waiter{request: *request, queuedAt: now, ready: make(chan struct{})}
	p.queue.push(w)
	p.dispatch(now)
	return nil, w, nil
}

// grantSlot grants a free slot of a server, which must have one.
func (p *Pool) grantSlot(now, queuedAt time.Time, s *server) *Grant {
	g := &Grant{Server: s.id, Waited: now.Sub(queuedAt), pool: p, server: s, grantedAt: now}
	p.servers.update(s, func(s *server) { g.Slot = s.takeSlot() })
	return g
}

// dispatch grants free slots to waiting requests.
func (p *Pool) dispatch(now time.Time) {
	p.queue.dispatch(&p.servers, func(w *waiter) error { return p.checkDeadline(now, w) }, func(w *waiter, s *server) *Grant {
		return p.grantSlot(now, w.queuedAt, s)
	})
}

// publishAndUnlock updates the published load and releases the mutex.
func (p *Pool) publishAndUnlock() {
	p.packedLoad.Store(packLoad(p.servers.generalSlots+p.servers.trialSlots, p.servers.busySlots, p.queue.waiting))
	p.mu.Unlock()
}

// cancelWait removes a request from the queue. If it was granted a slot in the
// meantime, the slot is released.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	queued := w.element != nil
	if queued {
		p.queue.remove(w)
	}
	p.publishAndUnlock()
	if !queued && w.grant != nil {
		w.grant.Release()
	}
}

// Release frees the slot; only the first call has an effect.
func (g *Grant) Release() {
	p := g.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.publishAndUnlock()
	if g.released {
		return
	}
	g.released = true
	p.servers.endExpiredUses(now)
	p.recordServiceTime(now.Sub(g.grantedAt))
	p.freeSlot(g)
	p.dispatch(now)
}

// ReleaseAfter frees the slot at the first call of Expire after the hold time,
// during which the server may still work on the request. Only the first call of
// Release or ReleaseAfter has an effect.
func (g *Grant) ReleaseAfter(hold time.Duration) {
	p := g.pool
	now := p.clock.Now()
	p.mu.Lock()
	defer p.publishAndUnlock()
	if g.released {
		return
	}
	g.released = true
	p.recordServiceTime(now.Sub(g.grantedAt))
	p.heldSlots = append(p.heldSlots, heldSlot{g, now.Add(hold)})
}

func (p *Pool) freeSlot(g *Grant) {
	p.servers.update(g.server, func(s *server) { s.busySlots &^= 1 << g.Slot })
}

// freeHeldSlots frees the held slots whose hold time has passed.
func (p *Pool) freeHeldSlots(now time.Time) {
	p.heldSlots = slices.DeleteFunc(p.heldSlots, func(h heldSlot) bool {
		due := !now.Before(h.until)
		if due {
			p.freeSlot(h.grant)
		}
		return due
	})
}

// recordServiceTime updates the moving mean and mean deviation.
func (p *Pool) recordServiceTime(serviceTime time.Duration) {
	difference := serviceTime - p.meanServiceTime
	p.meanServiceTime += difference / serviceTimeWeight
	p.serviceTimeDeviation += (difference.Abs() - p.serviceTimeDeviation) / serviceTimeWeight
}

// SetServers replaces the list of servers. Requests in flight on a server
// that is no longer listed keep their slots until they end. Waiting requests
// that no listed server can serve end with an error.
func (p *Pool) SetServers(listed []ServerSlots) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.publishAndUnlock()
	p.servers.replace(listed)
	p.servers.endExpiredUses(now)
	p.queue.completeFailed(p.servers.refusalError)
	p.dispatch(now)
}

// Drain stops new requests to a server. It returns a channel that is closed when
// no request is in flight on the server. The server gets requests again only
// after Resume, or after a call of SetServers that does not list it.
func (p *Pool) Drain(id fleet.ServerID) <-chan struct{} {
	idle := make(chan struct{})
	p.mu.Lock()
	defer p.publishAndUnlock()
	s, known := p.servers.byID[id]
	if !known {
		close(idle)
		return idle
	}
	if s.idleSignal != nil {
		idle = s.idleSignal
	}
	p.servers.update(s, func(s *server) { s.draining, s.idleSignal = true, idle })
	p.queue.completeFailed(p.servers.refusalError)
	return idle
}

// Resume allows new requests to a server again after Drain.
func (p *Pool) Resume(id fleet.ServerID) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.publishAndUnlock()
	if s, known := p.servers.byID[id]; known {
		p.servers.update(s, func(s *server) { s.draining = false })
		p.dispatch(now)
	}
}

// Expire ends waiting requests whose deadline has passed, and frees slots whose
// hold time has passed. The control goroutine calls it on its tick.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.publishAndUnlock()
	p.servers.endExpiredUses(now)
	p.freeHeldSlots(now)
	p.queue.completeFailed(func(request *Request) error {
		if request.expired(now) {
			return errExpired
		}
		return nil
	})
	p.dispatch(now)
}

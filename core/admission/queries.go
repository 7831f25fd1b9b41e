package admission

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Load returns the slots, the busy slots and the waiting requests. It takes
// no lock.
func (p *Pool) Load() exchange.Load {
	packed := p.load.Load()
	return exchange.Load{
		Slots:  fleet.Slots(packed >> 48),
		Busy:   fleet.Slots(packed >> 32 & 0xffff),
		Queued: int(packed & 0xffffffff),
	}
}

// packLoad packs a load into one word, so that readers see one moment.
func packLoad(slots, busy, queued int) uint64 {
	return uint64(min(slots, 0xffff))<<48 | uint64(min(busy, 0xffff))<<32 | uint64(queued)
}

// refusal returns why a request can never get a slot of the present servers;
// nil if it can.
func (t *servers) refusal(ask *Request) error {
	switch {
	case t.capacity(ask) > 0:
		return nil
	case t.draining > 0 && t.slots == 0 && t.trials == 0:
		return errDrained
	default:
		return errNoCapacity
	}
}

// immediate returns a server that a request may get without waiting; nil if
// there is none. It passes no waiting request that could use the same slot.
func (p *Pool) immediate(ask *Request) *server {
	switch {
	case p.queue.waiting == 0:
		return p.servers.choose(ask)
	case ask.Idempotent && p.queue.idempotent == 0:
		return p.servers.free[Trial].choose(ask.Exclude)
	default:
		return nil
	}
}

// overloaded returns an error if a request would wait too long or its tenant
// has too many waiting already.
func (p *Pool) overloaded(now time.Time, ask *Request) error {
	wait := p.expectedWait(ask)
	mine := 0
	if t, known := p.queue.tenants[ask.Tenant]; known {
		mine = t.waiting()
	}
	full := mine >= p.queue.share(ask, p.size) || p.queue.waiting >= 2*p.size
	late := !ask.Deadline.IsZero() && now.Add(wait+p.longest()).After(ask.Deadline)
	if !full && !late {
		return nil
	}
	return refuseFor(wait)
}

func refuseFor(wait time.Duration) error {
	return &OverloadedError{RetryAfter: min(max(wait, minAfter), maxAfter)}
}

// longest returns how long nearly all service times are at most.
func (p *Pool) longest() time.Duration { return p.mean + deviations*p.deviation }

// late returns an error if a waiting request can no longer be answered in
// time. Starting it would take a slot for an answer that nobody waits for.
// The service time counts as half of the deadline at most, so that timeouts,
// which raise the mean, do not stop the queue.
func (p *Pool) late(now time.Time, w *waiter) error {
	deadline := w.ask.Deadline
	if deadline.IsZero() {
		return nil
	}
	if !now.Before(deadline) {
		return errExpired
	}
	if left := deadline.Sub(now); left < min(p.longest(), deadline.Sub(w.since)/2) {
		return refuseFor(p.mean)
	}
	return nil
}

// expectedWait estimates the time until a request that is queued now gets a
// slot: the next slot comes free after a mean service time divided by the
// slots, and each request ahead takes one.
func (p *Pool) expectedWait(ask *Request) time.Duration {
	ahead := time.Duration(p.queue.ahead(ask) + 1)
	return ahead * p.mean / time.Duration(max(p.servers.capacity(ask), 1))
}

package admission

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Load returns the numbers of slots, busy slots and waiting requests. It takes
// no lock.
func (p *Pool) Load() exchange.Load {
	packed := p.packedLoad.Load()
	return exchange.Load{
		Slots:  fleet.Slots(packed >> 48),
		Busy:   fleet.Slots(packed >> 32 & 0xffff),
		Queued: int(packed & 0xffffffff),
	}
}

// packLoad packs a load into one word, so that it is read atomically.
func packLoad(slots, busy, queued int) uint64 {
	return uint64(min(slots, 0xffff))<<48 | uint64(min(busy, 0xffff))<<32 | uint64(queued)
}

// refusalError returns an error if no server of the set, as it is now, could
// ever serve the request.
func (t *serverSet) refusalError(request *Request) error {
	switch {
	case t.usableSlots(request) > 0:
		return nil
	case t.drainingCount > 0 && t.generalSlots == 0 && t.trialSlots == 0:
		return errDrained
	default:
		return errNoCapacity
	}
}

// immediateServer returns a server with a free slot for a new request; nil if
// there is none or if a waiting request may use the slot.
func (p *Pool) immediateServer(request *Request) *server {
	switch {
	case p.queue.waiting == 0:
		return p.servers.choose(request)
	case request.Idempotent && p.queue.idempotentWaiting == 0:
		return p.servers.free[Trial].choose(request.Exclude)
	default:
		return nil
	}
}

// checkOverload returns an error if a request would wait too long for its
// deadline or if the queue is full for its customer.
func (p *Pool) checkOverload(now time.Time, request *Request) error {
	wait := p.expectedWait(request)
	customerWaiting := 0
	if t, known := p.queue.customers[request.Customer]; known {
		customerWaiting = t.waitingCount()
	}
	queueFull := customerWaiting >= p.queue.customerLimit(request, p.queueSize) || p.queue.waiting >= 2*p.queueSize
	late := !request.Deadline.IsZero() && now.Add(wait+p.expectedMaxServiceTime()).After(request.Deadline)
	if !queueFull && !late {
		return nil
	}
	return newOverloadedError(wait)
}

// newOverloadedError returns a refusal with the expected wait, within bounds, as
// the time to retry after.
func newOverloadedError(wait time.Duration) error {
	return &OverloadedError{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// expectedMaxServiceTime returns the duration that nearly all service times do
// not exceed.
func (p *Pool) expectedMaxServiceTime() time.Duration {
	return p.meanServiceTime + deviationFactor*p.serviceTimeDeviation
}

// checkDeadline returns an error if a waiting request can no longer complete
// before its deadline, since it would occupy a slot for a response that nobody
// waits for. The service time counts as at most half of the time that the
// request had, so that timeouts, which raise the mean, do not stop the queue.
func (p *Pool) checkDeadline(now time.Time, w *waiter) error {
	deadline := w.request.Deadline
	if deadline.IsZero() {
		return nil
	}
	if !now.Before(deadline) {
		return errExpired
	}
	if remaining := deadline.Sub(now); remaining < min(p.expectedMaxServiceTime(), deadline.Sub(w.queuedAt)/2) {
		return newOverloadedError(p.meanServiceTime)
	}
	return nil
}

// expectedWait estimates the time until a request that is queued now gets a
// slot. On average a slot becomes free each mean service time divided by the
// number of slots, and each request ahead takes one.
func (p *Pool) expectedWait(request *Request) time.Duration {
	turns := time.Duration(p.queue.requestsAhead(request) + 1)
	return turns * p.meanServiceTime / time.Duration(max(p.servers.usableSlots(request), 1))
}

package admission

import (
	"container/list"
	"time"

	"galenaridge/core/fleet"
)

const (
	// maxLookahead is the number of requests of a list that are tried for a free
	// slot.
	maxLookahead = 8
	// maxCustomerVisits is the number of consecutive customers that are tried without
	// a grant; it keeps critical sections short.
	maxCustomerVisits = 64
)

// waiter is a request that waits in the queue or has just left it.
type waiter struct {
	request  Request
	queuedAt time.Time
	customer *customer
	// element is the position in the customer's list; nil once the request has left
	// the queue.
	element *list.Element
	// ready is closed after grant or err was set.
	ready chan struct{}
	grant *Grant
	err   error
}

// expired reports whether the deadline has passed.
func (r *Request) expired(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// customer is a customer with waiting requests.
type customer struct {
	name        fleet.Customer
	weight      int
	protected   list.List
	unprotected list.List
	// deficit is the number of requests that may be granted in this round.
	deficit int
	// visited is true after deficit was raised in this round.
	visited bool
	// element is the position in the round of the queue.
	element *list.Element
}

// waitingCount returns the number of waiting requests of the customer.
func (t *customer) waitingCount() int { return t.protected.Len() + t.unprotected.Len() }

// listFor returns the list that holds a request.
func (t *customer) listFor(request *Request) *list.List {
	if request.Protected {
		return &t.protected
	}
	return &t.unprotected
}

// queue holds waiting requests by customer, in deficit round robin order.
type queue struct {
	customers map[fleet.Customer]*customer
	// round lists customers with waiting requests; the first customer is served next.
	round   list.List
	waiting int
	// idempotentWaiting is the number of waiting requests that may run on servers
	// on trial.
	idempotentWaiting int
	// totalWeight is the sum of the weights of customers with waiting requests.
	totalWeight int
}

func (q *queue) push(w *waiter) {
	t, known := q.customers[w.request.Customer]
	if !known {
		t = &customer{name: w.request.Customer}
		t.element = q.round.PushBack(t)
		q.customers[t.name] = t
	}
	weight := max(w.request.CustomerWeight, 1)
	q.totalWeight += weight - t.weight
	t.weight = weight
	w.customer = t
	w.element = t.listFor(&w.request).PushBack(w)
	q.waiting++
	if w.request.Idempotent {
		q.idempotentWaiting++
	}
}

func (q *queue) remove(w *waiter) {
	t := w.customer
	t.listFor(&w.request).Remove(w.element)
	w.element = nil
	q.waiting--
	if w.request.Idempotent {
		q.idempotentWaiting--
	}
	if t.waitingCount() == 0 {
		q.round.Remove(t.element)
		delete(q.customers, t.name)
		q.totalWeight -= t.weight
	}
}

// complete removes a request from the queue and ends its wait with a grant or an
// error.
func (q *queue) complete(w *waiter, grant *Grant, err error) {
	q.remove(w)
	w.grant, w.err = grant, err
	close(w.ready)
}

// endTurn ends the turn of the first customer and moves it to the end of the round.
func (q *queue) endTurn(t *customer) {
	t.visited = false
	t.deficit = min(t.deficit, t.weight)
	q.round.MoveToBack(t.element)
}

// dispatch grants free slots to waiting requests. checkDeadline returns an error
// for a request that is too late to start. grant takes a slot of the server for
// the request.
func (q *queue) dispatch(servers *serverSet, checkDeadline func(*waiter) error, grant func(*waiter, *server) *Grant) {
	for visits := 0; q.waiting > 0 && visits < min(q.round.Len(), maxCustomerVisits); {
		general, trial := servers.anyFree()
		if !general && (!trial || q.idempotentWaiting == 0) {
			return
		}
		t := q.round.Front().Value.(*customer)
		if !t.visited {
			t.visited = true
			t.deficit += t.weight
		}
		w, s := q.nextGrantable(t, servers, checkDeadline)
		if w == nil {
			if t.waitingCount() > 0 {
				q.endTurn(t)
				visits++
			}
			continue
		}
		visits = 0
		q.complete(w, grant(w, s), nil)
		t.deficit--
		if t.deficit < 1 && t.waitingCount() > 0 {
			q.endTurn(t)
		}
	}
}

// nextGrantable returns the first request of a customer that can use a free slot,
// and the server; nil if there is none. Requests before it that are too late are
// completed with an error.
func (q *queue) nextGrantable(t *customer, servers *serverSet, checkDeadline func(*waiter) error) (*waiter, *server) {
	for _, l := range []*list.List{&t.protected, &t.unprotected} {
		tried := 0
		for e := l.Front(); e != nil && tried < maxLookahead; {
			w := e.Value.(*waiter)
			e = e.Next()
			if err := checkDeadline(w); err != nil {
				q.complete(w, nil, err)
				continue
			}
			if s := servers.choose(&w.request); s != nil {
				return w, s
			}
			tried++
		}
	}
	return nil, nil
}

// completeFailed completes the waiting requests for which check returns an error
// with that error.
func (q *queue) completeFailed(check func(*Request) error) {
	for e := q.round.Front(); e != nil; {
		t := e.Value.(*customer)
		e = e.Next()
		for _, l := range []*list.List{&t.protected, &t.unprotected} {
			for we := l.Front(); we != nil; {
				w := we.Value.(*waiter)
				we = we.Next()
				if err := check(&w.request); err != nil {
					q.complete(w, nil, err)
				}
			}
		}
	}
}

// requestsAhead estimates the number of waiting requests that are granted before
// a new one: the requests of its customer that are served first, and the requests
// of other customers in the same rounds.
func (q *queue) requestsAhead(request *Request) int {
	weight := max(request.CustomerWeight, 1)
	ownAhead, ownWaiting, otherWeight := 0, 0, q.totalWeight
	if t, known := q.customers[request.Customer]; known {
		ownWaiting = t.waitingCount()
		ownAhead = t.protected.Len()
		if !request.Protected {
			ownAhead = ownWaiting
		}
		otherWeight -= t.weight
	}
	rounds := (ownAhead + 1 + weight - 1) / weight
	return ownAhead + min(q.waiting-ownWaiting, rounds*otherWeight)
}

// customerLimit returns the number of requests that the customer of a request may
// have in a queue of a size, at least 1.
func (q *queue) customerLimit(request *Request, queueSize int) int {
	weight := max(request.CustomerWeight, 1)
	total := q.totalWeight + weight
	if t, known := q.customers[request.Customer]; known {
		total -= t.weight
	}
	return max(queueSize*weight/total, 1)
}

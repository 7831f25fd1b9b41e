package admission

import (
	"container/list"
	"time"

	"galenaridge/core/fleet"
)

const (
	// lookAhead is how many requests of a tenant are tried for a free slot that
	// the first one cannot use.
	lookAhead = 8
	// maxVisits bounds the tenants that are tried for a free slot in a row, so
	// that critical sections stay short.
	maxVisits = 64
)

// waiter is a request in the queue.
type waiter struct {
	ask    Request
	since  time.Time
	tenant *tenant
	// element is the place in the tenant's list; nil once it left the queue.
	element *list.Element
	// ready is closed when grant or err is set.
	ready chan struct{}
	grant *Grant
	err   error
}

// expired reports whether the deadline has passed.
func (a *Request) expired(now time.Time) bool {
	return !a.Deadline.IsZero() && !now.Before(a.Deadline)
}

// tenant is a tenant with waiting requests.
type tenant struct {
	name      fleet.Tenant
	weight    int
	protected list.List
	other     list.List
	// deficit is how many requests may be granted in this round.
	deficit int
	// visited says that deficit was raised in this round.
	visited bool
	element *list.Element
}

// waiting returns the number of requests of the tenant.
func (t *tenant) waiting() int { return t.protected.Len() + t.other.Len() }

// listOf returns the list for a request.
func (t *tenant) listOf(ask *Request) *list.List {
	if ask.Protected {
		return &t.protected
	}
	return &t.other
}

// queue holds waiting requests by tenant, in deficit round robin order.
type queue struct {
	tenants map[fleet.Tenant]*tenant
	// round lists tenants with waiting requests; the first one is served.
	round   list.List
	waiting int
	// idempotent counts waiting requests that servers on trial may get.
	idempotent int
	// weight is the sum over tenants with waiting requests.
	weight int
}

// push adds a request at the end of its tenant's list.
func (q *queue) push(w *waiter) {
	t, known := q.tenants[w.ask.Tenant]
	if !known {
		t = &tenant{name: w.ask.Tenant}
		t.element = q.round.PushBack(t)
		q.tenants[t.name] = t
	}
	weight := max(w.ask.TenantWeight, 1)
	q.weight += weight - t.weight
	t.weight = weight
	w.tenant = t
	w.element = t.listOf(&w.ask).PushBack(w)
	q.waiting++
	if w.ask.Idempotent {
		q.idempotent++
	}
}

// remove takes a request out of the queue.
func (q *queue) remove(w *waiter) {
	t := w.tenant
	t.listOf(&w.ask).Remove(w.element)
	w.element = nil
	q.waiting--
	if w.ask.Idempotent {
		q.idempotent--
	}
	if t.waiting() == 0 {
		q.round.Remove(t.element)
		delete(q.tenants, t.name)
		q.weight -= t.weight
	}
}

// finish takes a request out of the queue with a grant or an error.
func (q *queue) finish(w *waiter, grant *Grant, err error) {
	q.remove(w)
	w.grant, w.err = grant, err
	close(w.ready)
}

// rotate ends the turn of the first tenant.
func (q *queue) rotate(t *tenant) {
	t.visited = false
	t.deficit = min(t.deficit, t.weight)
	q.round.MoveToBack(t.element)
}

// dispatch gives free slots to waiting requests. Late returns an error for a
// request that must not be started any more. Grant takes a slot of the server
// for the request.
func (q *queue) dispatch(servers *servers, late func(*waiter) error, grant func(*waiter, *server) *Grant) {
	for visits := 0; q.waiting > 0 && visits < min(q.round.Len(), maxVisits); {
		general, trial := servers.anyFree()
		if !general && (!trial || q.idempotent == 0) {
			return
		}
		t := q.round.Front().Value.(*tenant)
		if !t.visited {
			t.visited = true
			t.deficit += t.weight
		}
		w, s := q.next(t, servers, late)
		if w == nil {
			if t.waiting() > 0 {
				q.rotate(t)
				visits++
			}
			continue
		}
		visits = 0
		q.finish(w, grant(w, s), nil)
		t.deficit--
		if t.deficit < 1 && t.waiting() > 0 {
			q.rotate(t)
		}
	}
}

// next returns the first request of a tenant that can use a free slot, and
// the server. Requests that are late are dropped on the way.
func (q *queue) next(t *tenant, servers *servers, late func(*waiter) error) (*waiter, *server) {
	for _, l := range []*list.List{&t.protected, &t.other} {
		tried := 0
		for e := l.Front(); e != nil && tried < lookAhead; {
			w := e.Value.(*waiter)
			e = e.Next()
			if err := late(w); err != nil {
				q.finish(w, nil, err)
				continue
			}
			if s := servers.choose(&w.ask); s != nil {
				return w, s
			}
			tried++
		}
	}
	return nil, nil
}

// sweep ends the waiting requests for which check returns an error.
func (q *queue) sweep(check func(*Request) error) {
	for e := q.round.Front(); e != nil; {
		t := e.Value.(*tenant)
		e = e.Next()
		for _, l := range []*list.List{&t.protected, &t.other} {
			for we := l.Front(); we != nil; {
				w := we.Value.(*waiter)
				we = we.Next()
				if err := check(&w.ask); err != nil {
					q.finish(w, nil, err)
				}
			}
		}
	}
}

// ahead estimates how many waiting requests are granted before a new one:
// those of its tenant that go first, and those of other tenants in the same
// rounds.
func (q *queue) ahead(ask *Request) int {
	weight := max(ask.TenantWeight, 1)
	own, mine, others := 0, 0, q.weight
	if t, known := q.tenants[ask.Tenant]; known {
		mine = t.waiting()
		own = t.protected.Len()
		if !ask.Protected {
			own = mine
		}
		others -= t.weight
	}
	rounds := (own + 1 + weight - 1) / weight
	return own + min(q.waiting-mine, rounds*others)
}

// share returns how many requests a tenant may have in a queue of a size.
func (q *queue) share(ask *Request, size int) int {
	weight := max(ask.TenantWeight, 1)
	total := q.weight + weight
	if t, known := q.tenants[ask.Tenant]; known {
		total -= t.weight
	}
	return max(size*weight/total, 1)
}

package client

import (
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
)

const (
	// assignmentTimeout bounds one assignment request to one entry address.
	assignmentTimeout = time.Second
	// nextEntryDelay is the time after which the next entry address is tried while
	// requests to the previous ones are pending. It covers several round trips
	// between failure domains.
	nextEntryDelay = 100 * time.Millisecond
	// renewAtTTLShare is the share of its TTL after which an assignment is renewed.
	renewAtTTLShare = 0.8
)

var errNoAssignment = eris.New("no entry address returned an assignment")

// assignmentReply is the JSON body of an instance's assignment response.
type assignmentReply struct {
	Service   fleet.ServiceName `json:"service"`
	Version   fleet.Version     `json:"version"`
	Addresses []struct {
		Address fleet.Address `json:"address"`
		Domain  fleet.Domain  `json:"domain"`
	} `json:"addresses"`
	TTLMillis      int64  `json:"ttl_ms"`
	Token          string `json:"token"`
	TokenTTLMillis int64  `json:"token_ttl_ms"`
}

// assignment holds the instance addresses and the token for the requests to one
// service. It is immutable.
type assignment struct {
	addresses      []fleet.Address
	token          string
	renewAt        time.Time
	expiresAt      time.Time
	tokenExpiresAt time.Time
}

// parseAssignment decodes the response to an assignment request. The TTLs count
// from requestedAt, the time of the request, so that the assignment never expires
// later than at the instance.
func parseAssignment(body []byte, requestedAt time.Time) (*assignment, error) {
	var reply assignmentReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, eris.Wrap(err, "decode an assignment")
	}
	if len(reply.Addresses) == 0 {
		return nil, eris.New("the assignment has no address")
	}
	ttl := time.Duration(reply.TTLMillis) * time.Millisecond
	a := &assignment{
		token:          reply.Token,
		renewAt:        requestedAt.Add(time.Duration(renewAtTTLShare * float64(ttl))),
		expiresAt:      requestedAt.Add(ttl),
		tokenExpiresAt: requestedAt.Add(time.Duration(reply.TokenTTLMillis) * time.Millisecond),
	}
	for _, entry := range reply.Addresses {
		a.addresses = append(a.addresses, entry.Address)
	}
	return a, nil
}

// assignmentCache keeps one assignment for each service. It is safe for
// concurrent use.
type assignmentCache struct {
	options   Options
	transport transport
	tasks     *conc.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	services map[fleet.ServiceName]*serviceEntry
}

// serviceEntry is the cached assignment of one service.
type serviceEntry struct {
	// requestLock is held during an assignment request, so that one request
	// serves all callers that wait for an assignment.
	requestLock sync.Mutex

	mu       sync.Mutex
	current  *assignment
	renewing bool
}

// get returns an assignment for a service and requests one if none is cached or
// the cached one has expired. While no instance responds it returns the expired
// assignment until its token expires, since instances forward the requests that
// another instance has to handle.
func (a *assignmentCache) get(service fleet.ServiceName, deadline time.Time) (*assignment, error) {
	entry := a.entry(service)
	now := a.options.Clock.Now()
	cached := entry.load()
	if cached != nil && now.Before(cached.expiresAt) {
		if now.After(cached.renewAt) {
			a.renewInBackground(service, entry)
		}
		return cached, nil
	}
	fresh, err := a.fetchOnce(service, entry, cached, deadline)
	if err != nil && cached != nil && now.Before(cached.tokenExpiresAt) {
		return cached, nil
	}
	return fresh, err
}

// drop removes an assignment from the cache unless it has been replaced already.
// The next request to the service requests another.
func (a *assignmentCache) drop(service fleet.ServiceName, outdated *assignment) {
	entry := a.entry(service)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.current == outdated {
		entry.current = nil
	}
}

// dropAddress removes all assignments that contain an address.
func (a *assignmentCache) dropAddress(address fleet.Address) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range a.services {
		entry.mu.Lock()
		if entry.current != nil && slices.Contains(entry.current.addresses, address) {
			entry.current = nil
		}
		entry.mu.Unlock()
	}
}

// fetchOnce requests an assignment unless another goroutine has already replaced
// the outdated one.
func (a *assignmentCache) fetchOnce(service fleet.ServiceName, entry *serviceEntry, outdated *assignment, deadline time.Time) (*assignment, error) {
	entry.requestLock.Lock()
	defer entry.requestLock.Unlock()
	if current := entry.load(); current != nil && current != outdated {
		return current, nil
	}
	fresh, err := a.fetch(service, deadline)
	if err != nil {
		return nil, err
	}
	entry.store(fresh)
	return fresh, nil
}

// renewInBackground starts the renewal of an assignment unless one is running.
func (a *assignmentCache) renewInBackground(service fleet.ServiceName, entry *serviceEntry) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.renewing {
		return
	}
	entry.renewing = true
	outdated := entry.current
	a.tasks.Go(func() {
		// A failed renewal keeps the old assignment; the first request after its
		// expiry requests another.
		_, _ = a.fetchOnce(service, entry, outdated, a.options.Clock.Now().Add(assignmentTimeout))
		entry.mu.Lock()
		defer entry.mu.Unlock()
		entry.renewing = false
	})
}

// fetch requests an assignment from the entry addresses, starting at a random
// one, and returns the first assignment received. It tries the next address when
// the previous one fails or takes longer than nextEntryDelay, so that an instance
// that hangs does not block the waiting requests.
func (a *assignmentCache) fetch(service fleet.ServiceName, deadline time.Time) (*assignment, error) {
	entries := a.options.Entries
	first := a.intN(len(entries))
	results := make(chan assignmentResult, len(entries))
	failure := errNoAssignment
	for started, failed := 0, 0; failed < len(entries); {
		if started < len(entries) {
			address := entries[(first+started)%len(entries)]
			a.tasks.Go(func() { results <- a.fetchFrom(service, address, deadline) })
			started++
		}
		result, ok := a.waitForReply(results, started == len(entries), deadline)
		switch {
		case ok && result.err == nil:
			return result.assignment, nil
		case ok:
			failed++
			failure = result.err
		case !a.options.Clock.Now().Before(deadline):
			return nil, eris.Wrapf(failure, "service %s", service)
		}
	}
	return nil, eris.Wrapf(failure, "service %s", service)
}

// assignmentResult is the outcome of an assignment request to one entry address.
type assignmentResult struct {
	assignment *assignment
	err        error
}

// waitForReply waits for a result, at most nextEntryDelay or, once the last
// address has been tried, until the deadline. It returns false if none arrived.
func (a *assignmentCache) waitForReply(results <-chan assignmentResult, allTried bool, deadline time.Time) (assignmentResult, bool) {
	wait := deadline.Sub(a.options.Clock.Now())
	if !allTried {
		wait = min(wait, nextEntryDelay)
	}
	timer := a.options.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-results:
		return result, true
	case <-timer.Chan():
		return assignmentResult{}, false
	}
}

// fetchFrom requests an assignment from one entry address.
func (a *assignmentCache) fetchFrom(service fleet.ServiceName, address fleet.Address, deadline time.Time) assignmentResult {
	now := a.options.Clock.Now()
	if limit := now.Add(assignmentTimeout); limit.Before(deadline) {
		deadline = limit
	}
	request := &fasthttp.Request{}
	query := url.Values{"service": {string(service)}, "domain": {string(a.options.Domain)}}
	request.SetRequestURI("/-/assign?" + query.Encode())
	response, err := a.transport.exchange(address, request, deadline)
	if err != nil {
		return assignmentResult{err: err}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return assignmentResult{err: eris.Errorf("%s returned status %d for an assignment request", address, response.StatusCode())}
	}
	fresh, err := parseAssignment(response.Body(), now)
	return assignmentResult{fresh, err}
}

// addressOrder returns the addresses of an assignment in the order in which to
// try them. Protected requests go to the first address, which issued the token.
func (a *assignmentCache) addressOrder(assigned *assignment, protected bool) []fleet.Address {
	n := len(assigned.addresses)
	first := 0
	if !protected && n > 1 && a.float64() >= a.options.FirstAddressShare {
		first = 1 + a.intN(n-1)
	}
	order := make([]fleet.Address, 0, n)
	order = append(order, assigned.addresses[first])
	for i, address := range assigned.addresses {
		if i != first {
			order = append(order, address)
		}
	}
	return order
}

func (a *assignmentCache) entry(service fleet.ServiceName) *serviceEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.services[service]
	if !ok {
		entry = &serviceEntry{}
		a.services[service] = entry
	}
	return entry
}

func (a *assignmentCache) intN(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.IntN(n)
}

func (a *assignmentCache) float64() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.Float64()
}

func (e *serviceEntry) load() *assignment {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *serviceEntry) store(a *assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = a
}

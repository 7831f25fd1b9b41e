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
	// askTimeout bounds one question for an assignment.
	askTimeout = time.Second
	// askStagger is after which time the next entry address is asked too; it
	// is several round trips between failure domains.
	askStagger = 100 * time.Millisecond
	// renewShare is the part of its time after which an assignment is renewed.
	renewShare = 0.8
)

var errNoAssignment = eris.New("no entry address gave an assignment")

// assignmentReply is an assignment as an instance writes it.
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

// assignment is where the requests for a service go. It does not change.
type assignment struct {
	addresses []fleet.Address
	token     string
	renew     time.Time
	ends      time.Time
	tokenEnds time.Time
}

// parseAssignment reads an assignment that was asked for at a time. Its
// lifetimes count from the question, so that they never end late.
func parseAssignment(body []byte, asked time.Time) (*assignment, error) {
	var reply assignmentReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, eris.Wrap(err, "decode an assignment")
	}
	if len(reply.Addresses) == 0 {
		return nil, eris.New("the assignment has no address")
	}
	ttl := time.Duration(reply.TTLMillis) * time.Millisecond
	a := &assignment{
		token:     reply.Token,
		renew:     asked.Add(time.Duration(renewShare * float64(ttl))),
		ends:      asked.Add(ttl),
		tokenEnds: asked.Add(time.Duration(reply.TokenTTLMillis) * time.Millisecond),
	}
	for _, e := range reply.Addresses {
		a.addresses = append(a.addresses, e.Address)
	}
	return a, nil
}

// assignments keeps one assignment for each service.
type assignments struct {
	options   Options
	transport transport
	tasks     *conc.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	services map[fleet.ServiceName]*serviceEntry
}

// serviceEntry is the assignment of one service. Its lock is held while
// asking, so that one question serves all that wait.
type serviceEntry struct {
	asking sync.Mutex

	mu       sync.Mutex
	current  *assignment
	renewing bool
}

// get returns a valid assignment for a service. It asks for one if there is
// none or if it is over, and falls back on one that is over while no instance
// answers, since instances forward what reaches them by mistake.
func (a *assignments) get(service fleet.ServiceName, deadline time.Time) (*assignment, error) {
	entry := a.entry(service)
	now := a.options.Clock.Now()
	current := entry.load()
	if current != nil && now.Before(current.ends) {
		if now.After(current.renew) {
			a.renewLater(service, entry)
		}
		return current, nil
	}
	fresh, err := a.replace(service, entry, current, deadline)
	if err != nil && current != nil && now.Before(current.tokenEnds) {
		return current, nil
	}
	return fresh, err
}

// drop forgets an assignment, so that the next request asks for another.
func (a *assignments) drop(service fleet.ServiceName, old *assignment) {
	entry := a.entry(service)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.current == old {
		entry.current = nil
	}
}

// leave forgets all assignments that name an address.
func (a *assignments) leave(address fleet.Address) {
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

// replace asks for an assignment unless another request has done so.
func (a *assignments) replace(service fleet.ServiceName, entry *serviceEntry, old *assignment, deadline time.Time) (*assignment, error) {
	entry.asking.Lock()
	defer entry.asking.Unlock()
	if current := entry.load(); current != nil && current != old {
		return current, nil
	}
	fresh, err := a.ask(service, deadline)
	if err != nil {
		return nil, err
	}
	entry.store(fresh)
	return fresh, nil
}

// renewLater renews an assignment in the background.
func (a *assignments) renewLater(service fleet.ServiceName, entry *serviceEntry) {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.renewing {
		return
	}
	entry.renewing = true
	old := entry.current
	a.tasks.Go(func() {
		// A failed renewal leaves the old assignment; the next request after
		// its end asks again.
		_, _ = a.replace(service, entry, old, a.options.Clock.Now().Add(askTimeout))
		entry.mu.Lock()
		defer entry.mu.Unlock()
		entry.renewing = false
	})
}

// ask asks the entry addresses, from a random one on. Each next one is asked
// when the one before failed or is slow, so that an instance that hangs does
// not hold up the requests that wait; the first assignment counts.
func (a *assignments) ask(service fleet.ServiceName, deadline time.Time) (*assignment, error) {
	entries := a.options.Entries
	first := a.intN(len(entries))
	answers := make(chan answer, len(entries))
	failure := errNoAssignment
	for asked, failed := 0, 0; failed < len(entries); {
		if asked < len(entries) {
			address := entries[(first+asked)%len(entries)]
			a.tasks.Go(func() { answers <- a.askOne(service, address, deadline) })
			asked++
		}
		got, ok := a.await(answers, asked == len(entries), deadline)
		switch {
		case ok && got.err == nil:
			return got.assignment, nil
		case ok:
			failed++
			failure = got.err
		case !a.options.Clock.Now().Before(deadline):
			return nil, eris.Wrapf(failure, "service %s", service)
		}
	}
	return nil, eris.Wrapf(failure, "service %s", service)
}

// answer is what one entry address gave.
type answer struct {
	assignment *assignment
	err        error
}

// await waits for an answer, until the next address is due or, after the last
// one, until the deadline.
func (a *assignments) await(answers <-chan answer, last bool, deadline time.Time) (answer, bool) {
	wait := deadline.Sub(a.options.Clock.Now())
	if !last {
		wait = min(wait, askStagger)
	}
	timer := a.options.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case got := <-answers:
		return got, true
	case <-timer.Chan():
		return answer{}, false
	}
}

// askOne asks one entry address.
func (a *assignments) askOne(service fleet.ServiceName, address fleet.Address, deadline time.Time) answer {
	now := a.options.Clock.Now()
	if limit := now.Add(askTimeout); limit.Before(deadline) {
		deadline = limit
	}
	request := &fasthttp.Request{}
	query := url.Values{"service": {string(service)}, "domain": {string(a.options.Domain)}}
	request.SetRequestURI("/-/assign?" + query.Encode())
	response, err := a.transport.exchange(address, request, deadline)
	if err != nil {
		return answer{err: err}
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return answer{err: eris.Errorf("%s answered %d to the question for an assignment", address, response.StatusCode())}
	}
	fresh, err := parseAssignment(response.Body(), now)
	return answer{fresh, err}
}

// pick returns the addresses of an assignment in the order in which to try
// them. Protected requests go to the first, which issued the token.
func (a *assignments) pick(from *assignment, protected bool) []fleet.Address {
	n := len(from.addresses)
	first := 0
	if !protected && n > 1 && a.float64() >= a.options.FirstAddressShare {
		first = 1 + a.intN(n-1)
	}
	order := make([]fleet.Address, 0, n)
	order = append(order, from.addresses[first])
	for i, address := range from.addresses {
		if i != first {
			order = append(order, address)
		}
	}
	return order
}

func (a *assignments) entry(service fleet.ServiceName) *serviceEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.services[service]
	if !ok {
		entry = &serviceEntry{}
		a.services[service] = entry
	}
	return entry
}

func (a *assignments) intN(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.IntN(n)
}

func (a *assignments) float64() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Float64()
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

package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/attempt"
	"galenaridge/core/balance"
	"galenaridge/core/customer"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
)

// changingState is a configuration that changes while requests are under way.
type changingState struct {
	controlState
	current atomic.Pointer[route.Table]
	age     atomic.Int64
}

func (s *changingState) Routes() *route.Table { return s.current.Load() }
func (s *changingState) ConfigConfirmedAt() time.Time {
	return time.Now().Add(-time.Duration(s.age.Load()))
}

// customersDocument returns a configuration with two customers, and the routes of newEngine
// with a public one.
func customersDocument(version fleet.Version) route.Document {
	urgent := customer.Priority(0)
	r := func(name string, idempotent, public bool) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Public: public, Priority: 2,
			Timeout: 400 * time.Millisecond, LatencyObjective: 80 * time.Millisecond, MaxAttempts: 2,
			Backends: []route.Backend{{Service: "s", Weight: 1}},
		}
	}
	return route.Document{
		Version:  version,
		Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Routes:   []route.Route{r("read", true, false), r("write", false, false), r("open", true, true)},
		Customers: []customer.Customer{
			{Name: "one", Priority: &urgent, Keys: []customer.KeyHash{customer.HashKey("k1"), customer.HashKey("k1b")}},
			{Name: "two", Keys: []customer.KeyHash{customer.HashKey("k2")}},
		},
	}
}

func tableOf(t *testing.T, document route.Document) *route.Table {
	t.Helper()
	state := route.NewState()
	_, err := state.Adopt(document)
	require.NoError(t, err)
	return state.Table()
}

// newCustomersEngine returns an engine whose configuration has customers.
func newCustomersEngine(t *testing.T, revocation Revocation, steps ...attemptStep) (*Engine, *changingState, *scriptedSender, *recordingJournal) {
	t.Helper()
	pool := balance.NewPool(balance.Options{Domain: "a", Random: constantRandom{}, Events: noEvents{}})
	var servers []registry.Server
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		servers = append(servers, registry.Server{Incarnation: registry.Incarnation{ID: id}, Service: "s", Domain: "a", Slots: 4})
	}
	pool.Update(servers)
	state := &changingState{controlState: controlState{upstream: &Upstream{Name: "s", Servers: pool, RepeatWindow: retry.NewWindow(ampleQuota)}}}
	state.current.Store(tableOf(t, customersDocument(1)))
	sender, journal := &scriptedSender{steps: steps}, &recordingJournal{}
	return New(Options{ControlState: state, Sender: sender, Clock: realClock{}, Journal: journal, Revocation: revocation}), state, sender, journal
}

func requestWithKey(path, key string) exchange.Request {
	request := requestFor(path)
	if key != "" {
		request.Credential = customer.HashKey(key)
	}
	return request
}

// TestAdmission guards against requests that run without a valid key, against refusals of
// requests that are allowed, and against refusals that say more than the instance knows.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name       string
		path       string
		key        string
		behind     bool
		failClosed bool
		age        time.Duration
		status     int
		code       exchange.Code
		customer   fleet.Customer
	}{
		{"known key", "/read/", "k1", false, false, 0, 200, "", "one"},
		{"second key", "/write/", "k1b", false, false, 0, 200, "", "one"},
		{"unknown key", "/read/", "k9", false, false, 0, 401, exchange.Unauthorized, ""},
		{"no key", "/write/", "", false, false, 0, 401, exchange.Unauthorized, ""},
		{"no route comes first", "/none/", "k9", false, false, 0, 404, exchange.NoRoute, ""},
		{"unknown key while behind", "/read/", "k9", true, false, 0, 503, exchange.NotReady, ""},
		{"no key while behind", "/read/", "", true, false, 0, 503, exchange.NotReady, ""},
		{"known key while behind", "/read/", "k2", true, false, 0, 200, "", "two"},
		{"public without a key", "/open/", "", false, false, 0, 200, "", ""},
		{"public with a known key", "/open/", "k2", false, false, 0, 200, "", "two"},
		{"public with an unknown key", "/open/", "k9", false, false, 0, 200, "", ""},
		{"old copy, open", "/read/", "k1", false, false, time.Hour, 200, "", "one"},
		{"recent copy, closed", "/read/", "k1", false, true, time.Second, 200, "", "one"},
		{"old copy, closed", "/read/", "k1", false, true, 6 * time.Second, 503, exchange.NotReady, ""},
		{"old copy, closed, unknown key", "/read/", "k9", false, true, 6 * time.Second, 503, exchange.NotReady, ""},
		{"old copy, closed, public", "/open/", "", false, true, 6 * time.Second, 200, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, state, sender, journal := newCustomersEngine(t, Revocation{FailClosed: test.failClosed, MaxAge: 5 * time.Second}, respondWith(200))
			state.behind = test.behind
			state.age.Store(int64(test.age))
			response := e.Serve(context.Background(), requestWithKey(test.path, test.key))
			require.Equal(t, test.status, response.Status, response.Message)
			require.Equal(t, test.code, response.Code)
			require.Equal(t, test.status == 503, response.RetryAfter > 0)
			require.Equal(t, test.customer, journal.records[0].Customer)
			if test.status != 200 {
				require.Equal(t, fleet.NotRun, response.Outcome)
				require.Zero(t, sender.count())
				return
			}
			require.Equal(t, 1, sender.count())
			require.Equal(t, test.customer, sender.sent[0].Request.Customer)
			require.True(t, sender.sent[0].Request.OmitCredential)
		})
	}
}

// TestAdmissionWithEmptyCustomers guards against requests that run, or keys that reach servers,
// after a version took the last customer away.
func TestAdmissionWithEmptyCustomers(t *testing.T) {
	document := customersDocument(2)
	document.Customers, document.KeysRequired = nil, true
	for _, key := range []string{"k1", "k9", ""} {
		e, state, sender, _ := newCustomersEngine(t, Revocation{}, respondWith(200))
		state.current.Store(tableOf(t, document))
		response := e.Serve(context.Background(), requestWithKey("/read/", key))
		require.Equal(t, exchange.Unauthorized, response.Code)
		require.Zero(t, sender.count())
		require.Equal(t, 200, e.Serve(context.Background(), requestWithKey("/open/", key)).Status)
		require.True(t, sender.sent[0].Request.OmitCredential)
	}
}

// TestAdmissionWithoutCustomers guards against keys that are needed, or removed from
// requests, although the configuration has no list of customers.
func TestAdmissionWithoutCustomers(t *testing.T) {
	e, sender, _ := newEngine(t, 3, ampleQuota, respondWith(200))
	e.options.Revocation = Revocation{FailClosed: true, MaxAge: time.Second}
	require.Equal(t, 200, e.Serve(context.Background(), requestWithKey("/read/", "any")).Status)
	require.False(t, sender.sent[0].Request.OmitCredential)
	require.Empty(t, sender.sent[0].Request.Customer)
}

// TestGrantPriority guards against a priority of a customer that is ignored, and against a
// missing one that is taken for the most urgent.
func TestGrantPriority(t *testing.T) {
	table := tableOf(t, customersDocument(1))
	tests := []struct {
		key  string
		want route.Priority
	}{{"k1", 0}, {"k2", 2}, {"", 2}}
	for _, test := range tests {
		e, _, _, _ := newCustomersEngine(t, Revocation{})
		request := requestWithKey("/open/", test.key)
		g, refusal := e.authorize(table, &request)
		require.Nil(t, refusal)
		require.Equal(t, test.want, g.priority())
	}
}

// changeBeforeWrite returns a step that changes the configuration after the server was
// chosen, and then asks whether the request may be written.
func changeBeforeWrite(change func()) attemptStep {
	return func(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
		change()
		if !a.MayWrite() {
			return exchange.Refuse(exchange.NoCapacity, "denied"), attempt.Evidence{Denied: true}
		}
		return exchange.Response{Outcome: fleet.Done, Status: 200}, attempt.Evidence{Written: true, Complete: true}
	}
}

// respondIfAllowed responds if the request may be written.
func respondIfAllowed(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
	return changeBeforeWrite(func() {})(context.Background(), a)
}

// TestChangeBeforeWrite guards against a request that is written to a server although the
// configuration no longer allows it, and against one that is refused although the new
// configuration allows it.
func TestChangeBeforeWrite(t *testing.T) {
	changed := func(change func(d *route.Document)) route.Document {
		d := customersDocument(2)
		change(&d)
		return d
	}
	tests := []struct {
		name     string
		path     string
		key      string
		next     route.Document
		status   int
		customer fleet.Customer
		omitted  bool
		// attempts is the number of times that a server was chosen.
		attempts int
	}{
		{"the same", "/write/", "k1", customersDocument(2), 200, "one", true, 1},
		{"key removed", "/write/", "k1", changed(func(d *route.Document) { d.Customers[0].Keys = nil }), 401, "", true, 1},
		{"key removed, idempotent", "/read/", "k1", changed(func(d *route.Document) { d.Customers[0].Keys = nil }), 401, "", true, 1},
		{"customer removed", "/write/", "k1", changed(func(d *route.Document) { d.Customers = d.Customers[1:] }), 401, "", true, 1},
		{"key of another customer", "/write/", "k1", changed(func(d *route.Document) {
			d.Customers[0].Keys, d.Customers[1].Keys = d.Customers[1].Keys, d.Customers[0].Keys
		}), 200, "two", true, 2},
		{"no customers", "/write/", "k1", changed(func(d *route.Document) { d.Customers = nil }), 200, "", false, 2},
		{"no customers, public", "/open/", "k9", changed(func(d *route.Document) { d.Customers = nil }), 200, "", false, 2},
		{"route removed", "/write/", "k1", changed(func(d *route.Document) { d.Routes = d.Routes[:1] }), 404, "", true, 1},
		{"route public, key removed", "/write/", "k1", changed(func(d *route.Document) { d.Customers, d.Routes[1].Public = d.Customers[1:], true }), 200, "", true, 2},
		{"route of another type", "/read/", "k1", changed(func(d *route.Document) { d.Routes[0].Idempotent = false }), 200, "one", true, 2},
		{"route of another service", "/read/", "k1", changed(func(d *route.Document) { d.Routes[0].Backends[0].Service = "t" }), 200, "one", true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var state *changingState
			next := tableOf(t, test.next)
			e, state, sender, _ := newCustomersEngine(t, Revocation{}, changeBeforeWrite(func() { state.current.Store(next) }), respondIfAllowed)
			response := e.Serve(context.Background(), requestWithKey(test.path, test.key))
			require.Equal(t, test.status, response.Status, response.Message)
			require.Equal(t, test.attempts, sender.count())
			if test.status != 200 {
				require.Equal(t, fleet.NotRun, response.Outcome)
				return
			}
			last := sender.sent[sender.count()-1]
			require.Equal(t, test.customer, last.Request.Customer)
			require.Equal(t, test.omitted, last.Request.OmitCredential)
			require.Equal(t, test.next.Routes[map[string]int{"/read/": 0, "/write/": 1, "/open/": 2}[test.path]].Backends[0].Service, last.Request.Service)
		})
	}
}

// TestChangeBeforeRetry guards against a retry with a key that was removed since the first
// attempt.
func TestChangeBeforeRetry(t *testing.T) {
	var state *changingState
	without := customersDocument(2)
	without.Customers[0].Keys = nil
	next := tableOf(t, without)
	for _, path := range []string{"/read/", "/write/"} {
		e, s, sender, _ := newCustomersEngine(t, Revocation{}, func(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
			state.current.Store(next)
			return declined(ctx, a)
		}, respondIfAllowed)
		state = s
		response := e.Serve(context.Background(), requestWithKey(path, "k1"))
		require.Equal(t, 401, response.Status, response.Message)
		require.Equal(t, 1, sender.count())
	}
}

// TestChangeBeforeHedge guards against a hedge that is written with a key that was removed
// while it waited for a connection. The first attempt goes on.
func TestChangeBeforeHedge(t *testing.T) {
	var state *changingState
	without := customersDocument(2)
	without.Customers[0].Keys = nil
	next := tableOf(t, without)
	var once sync.Once
	hedged := make(chan struct{})
	first := func(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
		require.True(t, a.MayWrite())
		select {
		case <-hedged:
		case <-ctx.Done():
		}
		return respondWith(200)(ctx, a)
	}
	e, s, sender, journal := newCustomersEngine(t, Revocation{}, first, func(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
		state.current.Store(next)
		defer once.Do(func() { close(hedged) })
		require.False(t, a.MayWrite())
		return exchange.Refuse(exchange.NoCapacity, "denied"), attempt.Evidence{Denied: true}
	})
	state = s
	response := e.Serve(context.Background(), requestWithKey("/read/", "k1"))
	require.Equal(t, 200, response.Status, response.Message)
	require.Equal(t, 2, sender.count())
	require.Equal(t, fleet.Customer("one"), journal.records[0].Customer)
}

// TestFailClosedBeforeWrite guards against a request that is written after the age at which
// keys are no longer trusted.
func TestFailClosedBeforeWrite(t *testing.T) {
	var state *changingState
	e, state, _, _ := newCustomersEngine(t, Revocation{FailClosed: true, MaxAge: time.Second}, changeBeforeWrite(func() { state.age.Store(int64(2 * time.Second)) }))
	response := e.Serve(context.Background(), requestWithKey("/write/", "k1"))
	require.Equal(t, 503, response.Status, response.Message)
	require.Equal(t, exchange.NotReady, response.Code)
}

// TestChangesWithoutEnd guards against a request that is admitted again and again.
func TestChangesWithoutEnd(t *testing.T) {
	var state *changingState
	version := fleet.Version(1)
	e, state, sender, _ := newCustomersEngine(t, Revocation{}, changeBeforeWrite(func() {
		version++
		d := customersDocument(version)
		d.Customers[0].Name = fleet.Customer(rune('a' + version))
		state.current.Store(tableOf(t, d))
	}))
	response := e.Serve(context.Background(), requestWithKey("/write/", "k1"))
	require.Equal(t, exchange.NotReady, response.Code)
	require.Equal(t, maxReadmissions, sender.count())
}

// TestReadmission guards against a request that is refused after a change because the only
// server of the service, to which nothing was written, counts as tried, and against one that
// keeps the timeout of the route before the change.
func TestReadmission(t *testing.T) {
	var state *changingState
	next := customersDocument(2)
	next.Routes[1].Timeout = 800 * time.Millisecond
	next.Customers[0].Name = "renamed"
	e, state, sender, _ := newCustomersEngine(t, Revocation{}, changeBeforeWrite(func() { state.current.Store(tableOf(t, next)) }), respondIfAllowed)
	state.upstream.Servers.Update([]registry.Server{{Incarnation: registry.Incarnation{ID: "a"}, Service: "s", Domain: "a", Slots: 4}})
	startedAt := time.Now()
	response := e.Serve(context.Background(), requestWithKey("/write/", "k1"))
	require.Equal(t, 200, response.Status, response.Message)
	require.Equal(t, 2, sender.count())
	require.Less(t, sender.sent[0].Deadline.Sub(startedAt), 700*time.Millisecond)
	require.GreaterOrEqual(t, sender.sent[1].Deadline.Sub(startedAt), 800*time.Millisecond)
}

// fixedClock stands still.
type fixedClock struct {
	realClock
	now time.Time
}

func (c fixedClock) Now() time.Time { return c.now }

// TestPriorityOfCustomer guards against a priority of a customer that does not reach the
// choice of a server: with full servers, less urgent requests leave the queues to urgent
// ones.
func TestPriorityOfCustomer(t *testing.T) {
	tests := []struct {
		key    string
		status int
	}{{"k2", 503}, {"k1", 200}}
	for _, test := range tests {
		t.Run(test.key, func(t *testing.T) {
			e, state, _, _ := newCustomersEngine(t, Revocation{}, respondWith(200))
			// The urgent requests are expected to take 0.25 ms. As time passes they become
			// overdue, their servers suspected, and a slot of a suspected server stays free.
			now := time.Now()
			e.options.Clock = fixedClock{now: now}
			document := customersDocument(2)
			document.Routes[1].Timeout, document.Routes[1].LatencyObjective = 10*time.Second, 10*time.Second
			state.current.Store(tableOf(t, document))
			request := requestWithKey("/write/", test.key)
			request.Deadline = now.Add(20 * time.Second)
			urgent := balance.PickOptions{Kind: "urgent", LatencyObjective: time.Millisecond, TimeLeft: time.Second}
			for range 12 {
				state.upstream.Servers.Pick(now, urgent)
			}
			response := e.Serve(context.Background(), request)
			require.Equal(t, test.status, response.Status, response.Message)
		})
	}
}

// TestReadmissionDuringStop guards against a request that a change of the configuration gives
// a deadline after the end of the process, which would cut it without a response.
func TestReadmissionDuringStop(t *testing.T) {
	var state *changingState
	next := customersDocument(2)
	next.Routes[1].Timeout = 900 * time.Millisecond
	next.Customers[0].Name = "renamed"
	e, state, sender, _ := newCustomersEngine(t, Revocation{}, changeBeforeWrite(func() { state.current.Store(tableOf(t, next)) }), respondIfAllowed)
	state.stopPlan = &StopPlan{LateAt: time.Now().Add(-time.Second), EndsAt: time.Now().Add(700 * time.Millisecond)}
	response := e.Serve(context.Background(), requestWithKey("/write/", "k1"))
	require.Equal(t, exchange.Stopping, response.Code, response.Message)
	require.Equal(t, 1, sender.count())
}

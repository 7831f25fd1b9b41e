package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/attempt"
	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// realClock is the real time; attempts of the tests take milliseconds.
type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) NewTimer(after time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(after)
	return timer.C, func() { timer.Stop() }
}

// steps is a sender whose n-th attempt does the n-th step.
type steps struct {
	mu    sync.Mutex
	steps []step
	sent  []Attempt
}

// step is how an attempt ends.
type step func(ctx context.Context, attempt Attempt) (exchange.Response, attempt.Evidence)

func (s *steps) Send(ctx context.Context, attempt Attempt) (exchange.Response, attempt.Evidence) {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, attempt)
	s.mu.Unlock()
	return s.steps[min(n, len(s.steps)-1)](ctx, attempt)
}

func (s *steps) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

func status(code int) step {
	return func(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
		return exchange.Response{Outcome: fleet.Done, Status: code, Server: a.Server.ID}, attempt.Evidence{Written: true, Complete: true}
	}
}

func declined(context.Context, Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.Overloaded, "shed"), attempt.Evidence{Written: true, Declined: true}
}

func unreachable(context.Context, Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.NoCapacity, "refused"), attempt.Evidence{}
}

func broken(context.Context, Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.UpstreamLost, "reset"), attempt.Evidence{Written: true}
}

// stall ends with the context.
func stall(ctx context.Context, _ Attempt) (exchange.Response, attempt.Evidence) {
	<-ctx.Done()
	timedOut := ctx.Err() == context.DeadlineExceeded
	return exchange.Refuse(exchange.UpstreamTimeout, "stalled"), attempt.Evidence{Written: true, TimedOut: timedOut, Canceled: !timedOut}
}

// sites is a control state with one route of each kind.
type sites struct {
	table    *route.Table
	upstream *Upstream
	loaded   chan struct{}
}

func (s sites) Routes() *route.Table                              { return s.table }
func (s sites) ConfigLoaded() <-chan struct{}                     { return s.loaded }
func (s sites) Upstream(fleet.ServiceName) (*Upstream, bool)      { return s.upstream, s.upstream != nil }
func (sites) Usable(fleet.ServiceName, registry.Incarnation) bool { return true }

// journal keeps the records.
type journal struct {
	mu      sync.Mutex
	records []RequestRecord
}

func (j *journal) RequestFinished(r RequestRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}

type noEvents struct{}

func (noEvents) ServerSuspected(registry.Server, balance.Result, time.Duration, float64) {}
func (noEvents) ServerCleared(registry.Server, time.Duration)                            {}

type half struct{}

func (half) Float64() float64 { return 0.5 }

func newEngine(t *testing.T, servers int, quota retry.Quota, script ...step) (*Engine, *steps, *journal) {
	t.Helper()
	state := route.NewState()
	_, err := state.Adopt(route.Document{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Timeout: 400 * time.Millisecond, LatencyObjective: 80 * time.Millisecond, MaxAttempts: 2, Backends: []route.Backend{{Service: "s", Weight: 1}}},
			{Name: "write", Host: "h", Prefix: "/write/", Timeout: 200 * time.Millisecond, LatencyObjective: 80 * time.Millisecond, MaxAttempts: 2, Backends: []route.Backend{{Service: "s", Weight: 1}}},
		},
	})
	require.NoError(t, err)
	pool := balance.NewPool(balance.Options{Domain: "a", Random: half{}, Events: noEvents{}})
	var list []registry.Server
	for i := range servers {
		list = append(list, registry.Server{
			Incarnation: registry.Incarnation{ID: fleet.ServerID(rune('a' + i))},
			Service:     "s", Domain: "a", Slots: 4,
		})
	}
	pool.Update(list)
	sender, book := &steps{steps: script}, &journal{}
	return New(Options{
		ControlState: sites{table: state.Table(), upstream: &Upstream{Name: "s", Servers: pool, RepeatWindow: retry.NewWindow(quota)}},
		Sender:       sender,
		Clock:        realClock{},
		Journal:      book,
	}), sender, book
}

func requestFor(path string) exchange.Request {
	return exchange.Request{ID: "r", Host: "h", Method: "GET", URI: path, Deadline: time.Now().Add(time.Second)}
}

var ample = retry.Quota{Ratio: 1, Allowance: 100, Span: 10 * time.Second}

// TestServe guards against requests that run twice, refusals that are not true,
// and answers that are replaced.
func TestServe(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		quota   retry.Quota
		script  []step
		status  int
		outcome fleet.Outcome
		sent    int
	}{
		{"answer", "/write/", ample, []step{status(200)}, 200, fleet.Done, 1},
		{"error of the server is passed on", "/write/", ample, []step{status(500)}, 500, fleet.Done, 1},
		{"no route", "/other/", ample, nil, 404, fleet.NotRun, 0},
		{"a write that may have run is not repeated", "/write/", ample, []step{broken, status(200)}, 504, fleet.Unknown, 1},
		{"a write that stalls is not repeated", "/write/", ample, []step{stall, status(200)}, 504, fleet.Unknown, 1},
		{"a write that was not sent goes elsewhere", "/write/", ample, []step{unreachable, unreachable, status(200)}, 200, fleet.Done, 3},
		{"a write that was declined goes elsewhere", "/write/", ample, []step{declined, status(200)}, 200, fleet.Done, 2},
		{"a write that was declined twice was not run", "/write/", ample, []step{declined}, 503, fleet.NotRun, 2},
		{"no repeat beyond the quota", "/write/", retry.Quota{Span: time.Second}, []step{declined, status(200)}, 503, fleet.NotRun, 1},
		{"not declined after it may have run", "/read/", ample, []step{broken, declined}, 504, fleet.Unknown, 2},
		{"a read that broke is repeated", "/read/", ample, []step{broken, status(200)}, 200, fleet.Done, 2},
		{"a read that erred is repeated", "/read/", ample, []step{status(500), status(200)}, 200, fleet.Done, 2},
		{"the error of the last attempt is passed on", "/read/", ample, []step{status(500)}, 500, fleet.Done, 2},
		{"a read that stalls is sent to a second server", "/read/", ample, []step{stall, status(200)}, 200, fleet.Done, 2},
		{"no second server beyond the quota", "/read/", retry.Quota{Span: time.Second}, []step{stall, status(200)}, 504, fleet.Unknown, 1},
		{"not more servers than the route allows", "/read/", ample, []step{stall}, 504, fleet.Unknown, 2},
		{"nothing could be sent", "/read/", ample, []step{unreachable}, 503, fleet.NotRun, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, sender, book := newEngine(t, 3, test.quota, test.script...)
			response := e.Serve(context.Background(), requestFor(test.path))
			require.Equal(t, test.status, response.Status, "%s %s", response.Code, response.Message)
			require.Equal(t, test.outcome, response.Outcome)
			require.Equal(t, test.sent, sender.count())
			require.Zero(t, e.InFlight())
			require.Len(t, book.records, 1)
			require.Len(t, book.records[0].Attempts, map[bool]int{true: test.sent, false: len(book.records[0].Attempts)}[test.path == "/write/"])
			seen := make(map[fleet.ServerID]bool)
			for _, attempt := range sender.sent {
				require.False(t, seen[attempt.Server.ID], "a server is tried once")
				seen[attempt.Server.ID] = true
			}
		})
	}
}

// TestServeInTime guards against answers later than the route allows, and against
// refusals that are held back.
func TestServeInTime(t *testing.T) {
	tests := []struct {
		name   string
		script step
		path   string
		most   time.Duration
	}{
		{"the timeout of the route", stall, "/write/", 260 * time.Millisecond},
		{"a refusal comes at once", declined, "/write/", 50 * time.Millisecond},
		{"nothing reachable", unreachable, "/read/", 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, _, _ := newEngine(t, 3, ample, test.script)
			began := time.Now()
			e.Serve(context.Background(), requestFor(test.path))
			require.Less(t, time.Since(began), test.most)
		})
	}
}

// TestCallerLeft guards against attempts for a caller that has gone.
func TestCallerLeft(t *testing.T) {
	for _, path := range []string{"/read/", "/write/"} {
		t.Run(path, func(t *testing.T) {
			e, sender, book := newEngine(t, 3, ample, stall)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			began := time.Now()
			e.Serve(ctx, requestFor(path))
			require.Less(t, time.Since(began), 100*time.Millisecond)
			require.Equal(t, 1, sender.count())
			require.True(t, book.records[0].CallerLeft)
		})
	}
}

// TestNotReady guards against a 404 from an instance that knows no configuration.
func TestNotReady(t *testing.T) {
	book := &journal{}
	e := New(Options{ControlState: sites{table: route.NewState().Table()}, Sender: &steps{}, Clock: realClock{}, Journal: book})
	response := e.Serve(context.Background(), requestFor("/read/"))
	require.Equal(t, 503, response.Status)
	require.Positive(t, response.RetryAfter)
}

// starting is a control state whose configuration arrives with the loaded signal.
type starting struct {
	sites
	later *route.Table
}

func (s starting) Routes() *route.Table {
	select {
	case <-s.loaded:
		return s.later
	default:
		return s.table
	}
}

// TestStarting guards against refusals by an instance that has a configuration a
// moment later.
func TestStarting(t *testing.T) {
	e, _, _ := newEngine(t, 3, ample, status(200))
	known := e.options.ControlState.(sites)
	loaded := make(chan struct{})
	e.options.ControlState = starting{sites: sites{table: route.NewState().Table(), upstream: known.upstream, loaded: loaded}, later: known.table}
	time.AfterFunc(20*time.Millisecond, func() { close(loaded) })
	require.Equal(t, 200, e.Serve(context.Background(), requestFor("/write/")).Status)
}

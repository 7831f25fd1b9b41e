package dispatch

import (
	"context"
	"strconv"
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

// realClock is the system clock; the attempts of these tests take milliseconds.
type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) NewTimer(after time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(after)
	return timer.C, func() { timer.Stop() }
}

// scriptedSender runs the n-th step for the n-th attempt, and the last step for all
// further ones.
type scriptedSender struct {
	mu    sync.Mutex
	steps []attemptStep
	sent  []Attempt
}

// attemptStep produces the result of one attempt.
type attemptStep func(ctx context.Context, attempt Attempt) (exchange.Response, attempt.Evidence)

func (s *scriptedSender) Send(ctx context.Context, attempt Attempt) (exchange.Response, attempt.Evidence) {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, attempt)
	s.mu.Unlock()
	return s.steps[min(n, len(s.steps)-1)](ctx, attempt)
}

func (s *scriptedSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

func respondWith(code int) attemptStep {
	return func(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
		return exchange.Response{Outcome: fleet.Done, Status: code, Headers: []exchange.Header{{Name: "Signature", Value: "s"}}, Server: a.Server.ID}, attempt.Evidence{Written: true, Complete: true}
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

// stallUntilDone blocks until the context ends.
func stallUntilDone(ctx context.Context, _ Attempt) (exchange.Response, attempt.Evidence) {
	<-ctx.Done()
	timedOut := ctx.Err() == context.DeadlineExceeded
	return exchange.Refuse(exchange.UpstreamTimeout, "stalled"), attempt.Evidence{Written: true, TimedOut: timedOut, Canceled: !timedOut}
}

// controlState is a fixed configuration with an idempotent and a non-idempotent route.
type controlState struct {
	stopPlan    *StopPlan
	table       *route.Table
	upstream    *Upstream
	loaded      chan struct{}
	behind      bool
	confirmedAt time.Time
}

func (s controlState) Routes() *route.Table          { return s.table }
func (s controlState) ConfigBehind() bool            { return s.behind }
func (s controlState) ConfigConfirmedAt() time.Time  { return s.confirmedAt }
func (s controlState) StopPlan() *StopPlan           { return s.stopPlan }
func (s controlState) ConfigLoaded() <-chan struct{} { return s.loaded }
func (s controlState) Upstream(fleet.ServiceName) (*Upstream, bool) {
	return s.upstream, s.upstream != nil
}
func (controlState) Usable(fleet.ServiceName, registry.Incarnation) bool { return true }

// recordingJournal stores all records.
type recordingJournal struct {
	mu      sync.Mutex
	records []RequestRecord
}

func (j *recordingJournal) RequestFinished(r RequestRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}

type noEvents struct{}

func (noEvents) ServerSuspected(registry.Server, balance.Result, time.Duration, float64) {}
func (noEvents) ServerCleared(registry.Server, time.Duration)                            {}
func (noEvents) ServerAnnouncedLeaving(registry.Server)                                  {}
func (noEvents) ServerPaused(registry.Server, time.Duration)                             {}

type constantRandom struct{}

func (constantRandom) Float64() float64 { return 0.5 }

func newEngine(t *testing.T, servers int, quota retry.Quota, steps ...attemptStep) (*Engine, *scriptedSender, *recordingJournal) {
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
	pool := balance.NewPool(balance.Options{Domain: "a", Random: constantRandom{}, Events: noEvents{}})
	var list []registry.Server
	for i := range servers {
		list = append(list, registry.Server{
			Incarnation: registry.Incarnation{ID: fleet.ServerID(rune('a' + i))},
			Service:     "s", Domain: "a", Slots: 4,
		})
	}
	pool.Update(list)
	sender, journal := &scriptedSender{steps: steps}, &recordingJournal{}
	return New(Options{
		ControlState: controlState{table: state.Table(), upstream: &Upstream{Name: "s", Servers: pool, RepeatWindow: retry.NewWindow(quota)}},
		Sender:       sender,
		Clock:        realClock{},
		Journal:      journal,
	}), sender, journal
}

func requestFor(path string) exchange.Request {
	return exchange.Request{ID: "r", Host: "h", Method: "GET", URI: path, Deadline: time.Now().Add(time.Second)}
}

var ampleQuota = retry.Quota{Ratio: 1, Allowance: 100, Span: 10 * time.Second}

// TestServe guards against non-idempotent requests that run twice, false refusals, and
// responses that are replaced.
func TestServe(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		quota    retry.Quota
		steps    []attemptStep
		status   int
		outcome  fleet.Outcome
		attempts int
	}{
		{"answer", "/write/", ampleQuota, []attemptStep{respondWith(200)}, 200, fleet.Done, 1},
		{"a server error is returned", "/write/", ampleQuota, []attemptStep{respondWith(500)}, 500, fleet.Done, 1},
		{"no route", "/other/", ampleQuota, nil, 404, fleet.NotRun, 0},
		{"a write that may have run is not retried", "/write/", ampleQuota, []attemptStep{broken, respondWith(200)}, 504, fleet.Unknown, 1},
		{"a write that stalls is not retried", "/write/", ampleQuota, []attemptStep{stallUntilDone, respondWith(200)}, 504, fleet.Unknown, 1},
		{"a write that was not sent is retried", "/write/", ampleQuota, []attemptStep{unreachable, unreachable, respondWith(200)}, 200, fleet.Done, 3},
		{"a write that was declined is retried", "/write/", ampleQuota, []attemptStep{declined, respondWith(200)}, 200, fleet.Done, 2},
		{"a write that was declined twice is refused as not run", "/write/", ampleQuota, []attemptStep{declined}, 503, fleet.NotRun, 2},
		{"no retry beyond the quota", "/write/", retry.Quota{Span: time.Second}, []attemptStep{declined, respondWith(200)}, 503, fleet.NotRun, 1},
		{"not refused as not run after it may have run", "/read/", ampleQuota, []attemptStep{broken, declined}, 504, fleet.Unknown, 2},
		{"a read with a broken connection is retried", "/read/", ampleQuota, []attemptStep{broken, respondWith(200)}, 200, fleet.Done, 2},
		{"a read with a server error is retried", "/read/", ampleQuota, []attemptStep{respondWith(500), respondWith(200)}, 200, fleet.Done, 2},
		{"the error of the last attempt is returned", "/read/", ampleQuota, []attemptStep{respondWith(500)}, 500, fleet.Done, 2},
		{"a read that stalls is sent to a second server", "/read/", ampleQuota, []attemptStep{stallUntilDone, respondWith(200)}, 200, fleet.Done, 2},
		{"no second server beyond the quota", "/read/", retry.Quota{Span: time.Second}, []attemptStep{stallUntilDone, respondWith(200)}, 504, fleet.Unknown, 1},
		{"not more servers than the route allows", "/read/", ampleQuota, []attemptStep{stallUntilDone}, 504, fleet.Unknown, 2},
		{"nothing could be sent", "/read/", ampleQuota, []attemptStep{unreachable}, 503, fleet.NotRun, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, sender, journal := newEngine(t, 3, test.quota, test.steps...)
			response := e.Serve(context.Background(), requestFor(test.path))
			require.Equal(t, test.status, response.Status, "%s %s", response.Code, response.Message)
			require.Equal(t, test.outcome, response.Outcome)
			require.Equal(t, test.attempts, sender.count())
			require.Zero(t, e.InFlight())
			require.Len(t, journal.records, 1)
			require.Len(t, journal.records[0].Attempts, map[bool]int{true: test.attempts, false: len(journal.records[0].Attempts)}[test.path == "/write/"])
			seen := make(map[fleet.ServerID]bool)
			for _, attempt := range sender.sent {
				require.False(t, seen[attempt.Server.ID], "a server is tried once")
				seen[attempt.Server.ID] = true
			}
		})
	}
}

// TestServeAfterStatusOfServer guards against a status of a server's application that callers
// take for the promise that a request that must not run twice has not run.
func TestServeAfterStatusOfServer(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		steps    []attemptStep
		status   int
		code     exchange.Code
		outcome  fleet.Outcome
		attempts int
		// result is that of the last attempt.
		result balance.Result
	}{
		{"503, not idempotent", "/write/", []attemptStep{respondWith(503), respondWith(200)}, 502, exchange.UpstreamFailed, fleet.Unknown, 1, balance.Failed},
		{"429, not idempotent", "/write/", []attemptStep{respondWith(429), respondWith(200)}, 502, exchange.UpstreamFailed, fleet.Unknown, 1, balance.Failed},
		{"408, not idempotent", "/write/", []attemptStep{respondWith(408), respondWith(200)}, 502, exchange.UpstreamFailed, fleet.Unknown, 1, balance.Failed},
		{"declined, then 503", "/write/", []attemptStep{declined, respondWith(503)}, 502, exchange.UpstreamFailed, fleet.Unknown, 2, balance.Failed},
		{"declined, not idempotent", "/write/", []attemptStep{declined}, 503, exchange.NoCapacity, fleet.NotRun, 2, balance.Shed},
		{"409, not idempotent", "/write/", []attemptStep{respondWith(409)}, 409, "", fleet.Done, 1, balance.Succeeded},
		{"504, not idempotent", "/write/", []attemptStep{respondWith(504)}, 504, "", fleet.Done, 1, balance.Failed},
		{"503, idempotent", "/read/", []attemptStep{respondWith(503)}, 503, "", fleet.Done, 2, balance.Failed},
		{"429, idempotent", "/read/", []attemptStep{respondWith(429)}, 429, "", fleet.Done, 1, balance.Succeeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, sender, journal := newEngine(t, 3, ampleQuota, test.steps...)
			response := e.Serve(context.Background(), requestFor(test.path))
			require.Equal(t, test.status, response.Status)
			require.Equal(t, test.code, response.Code)
			require.Equal(t, test.outcome, response.Outcome)
			require.Equal(t, test.attempts, sender.count())
			last := journal.records[0].Attempts[len(journal.records[0].Attempts)-1]
			require.Equal(t, test.result, last.Result)
			if test.code == exchange.UpstreamFailed {
				require.Contains(t, last.Err, strconv.Itoa(last.Status), "the log names the status of the server")
				require.Empty(t, response.Headers, "no signature of the server stands beside another status")
			}
		})
	}
}

// leaving responds and says that the server leaves; pausing sheds and asks for a pause.
func leaving(_ context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Response{Outcome: fleet.Done, Status: 200, Server: a.Server.ID}, attempt.Evidence{Written: true, Complete: true, Draining: true}
}

func pausing(context.Context, Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.Overloaded, "shed"), attempt.Evidence{Written: true, Declined: true, RetryAfter: 800 * time.Millisecond}
}

// TestServeAfterNotices guards against requests to servers that said that they leave or
// that they want a pause, and against requests that wait although no server takes them.
func TestServeAfterNotices(t *testing.T) {
	tests := []struct {
		name  string
		path  string
		steps []attemptStep
		// statuses and attempts are those of one request after the other.
		statuses   []int
		attempts   int
		retryAfter time.Duration
	}{
		{"leaving servers", "/write/", []attemptStep{leaving, leaving, leaving}, []int{200, 200, 200, 503}, 3, refusalRetryAfter},
		{"paused servers", "/write/", []attemptStep{pausing, pausing, respondWith(200), respondWith(200)}, []int{503, 200, 200}, 4, 0},
		{"all paused", "/write/", []attemptStep{pausing}, []int{503, 503, 503}, 3, 800 * time.Millisecond},
		{"all paused, idempotent", "/read/", []attemptStep{pausing}, []int{503, 503, 503}, 3, 800 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, sender, _ := newEngine(t, 3, ampleQuota, test.steps...)
			startedAt := time.Now()
			var last exchange.Response
			for _, status := range test.statuses {
				last = e.Serve(context.Background(), requestFor(test.path))
				require.Equal(t, status, last.Status, last.Message)
			}
			require.Equal(t, test.attempts, sender.count())
			require.Less(t, time.Since(startedAt), 100*time.Millisecond)
			if test.retryAfter > 0 {
				require.Equal(t, fleet.NotRun, last.Outcome)
				require.InDelta(t, test.retryAfter, last.RetryAfter, float64(100*time.Millisecond))
			}
		})
	}
}

// TestNoticeBeforeWrite guards against a request that is written to a server although
// another response has said meanwhile that the server leaves.
func TestNoticeBeforeWrite(t *testing.T) {
	e, sender, _ := newEngine(t, 1, ampleQuota, leaving)
	known := e.options.ControlState.(controlState)
	chosen, _ := known.upstream.Servers.Pick(time.Now(), balance.PickOptions{Kind: "write", LatencyObjective: time.Second, TimeLeft: time.Second})
	require.Equal(t, 200, e.Serve(context.Background(), requestFor("/write/")).Status)
	e.send(context.Background(), requestFor("/write/"), grant{table: known.table}, time.Now(), chosen, false)
	require.False(t, sender.sent[1].MayWrite())
}

// TestServeInTime guards against responses after the timeout of the route, and against
// delayed refusals.
func TestServeInTime(t *testing.T) {
	tests := []struct {
		name        string
		step        attemptStep
		path        string
		maxDuration time.Duration
	}{
		{"the timeout of the route", stallUntilDone, "/write/", 260 * time.Millisecond},
		{"an immediate refusal", declined, "/write/", 50 * time.Millisecond},
		{"no reachable server", unreachable, "/read/", 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, _, _ := newEngine(t, 3, ampleQuota, test.step)
			startedAt := time.Now()
			e.Serve(context.Background(), requestFor(test.path))
			require.Less(t, time.Since(startedAt), test.maxDuration)
		})
	}
}

// firedClock stands still. Each timer fires when the test closes its channel.
type firedClock struct {
	now   time.Time
	fired chan time.Time
}

func (c firedClock) Now() time.Time { return c.now }

func (c firedClock) NewTimer(time.Duration) (<-chan time.Time, func()) { return c.fired, func() {} }

// TestCallerLeft guards against attempts for a caller that disconnected, also if a hedge is
// due at that moment, and against attempts that go on until the timeout of the route. That
// one is an hour away, so only the disconnect can end the attempt.
func TestCallerLeft(t *testing.T) {
	for _, path := range []string{"/read/", "/write/"} {
		t.Run(path, func(t *testing.T) {
			clock := firedClock{now: time.Now().Add(time.Hour), fired: make(chan time.Time)}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			e, sender, journal := newEngine(t, 3, ampleQuota, func(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence) {
				cancel()
				close(clock.fired)
				return stallUntilDone(ctx, a)
			})
			e.options.Clock = clock
			request := requestFor(path)
			request.Deadline = clock.now.Add(time.Second)
			served := make(chan struct{})
			go func() {
				defer close(served)
				e.Serve(ctx, request)
			}()
			select {
			case <-served:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the request goes on without its caller")
			}
			require.Equal(t, 1, sender.count())
			require.True(t, journal.records[0].CallerLeft)
			require.Equal(t, balance.Abandoned, journal.records[0].Attempts[0].Result)
		})
	}
}

// TestServeWithoutConfig guards against a 404 from an instance without a
// configuration.
func TestServeWithoutConfig(t *testing.T) {
	journal := &recordingJournal{}
	e := New(Options{ControlState: controlState{table: route.NewState().Table()}, Sender: &scriptedSender{}, Clock: realClock{}, Journal: journal})
	response := e.Serve(context.Background(), requestFor("/read/"))
	require.Equal(t, 503, response.Status)
	require.Positive(t, response.RetryAfter)
}

// TestServeBehind guards against a 404 for a route of a configuration that other instances
// have already, and against refusals of routes that the instance has.
func TestServeBehind(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		behind bool
		status int
	}{
		{"unknown route", "/other/", false, 404},
		{"unknown route while a newer configuration exists", "/other/", true, 503},
		{"known route while a newer configuration exists", "/read/", true, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, _, _ := newEngine(t, 3, ampleQuota, respondWith(200))
			state := e.options.ControlState.(controlState)
			state.behind = test.behind
			e.options.ControlState = state
			response := e.Serve(context.Background(), requestFor(test.path))
			require.Equal(t, test.status, response.Status)
			if test.status == 503 {
				require.Equal(t, fleet.NotRun, response.Outcome)
				require.Positive(t, response.RetryAfter)
			}
		})
	}
}

// TestServeDuringStop guards against requests that arrive late in a planned stop, are sent to
// a server, and are cut when the process ends: they must be refused at once, truthfully.
func TestServeDuringStop(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		plan *StopPlan
		want int
	}{
		{"no stop", nil, 200},
		{"callers have not learned of the stop yet", &StopPlan{LateAt: now.Add(time.Minute), EndsAt: now.Add(time.Millisecond)}, 200},
		{"late, but the deadline comes first", &StopPlan{LateAt: now, EndsAt: now.Add(time.Minute)}, 200},
		{"late, and the process ends first", &StopPlan{LateAt: now, EndsAt: now.Add(time.Millisecond)}, 503},
	}
	for _, test := range tests {
		for _, path := range []string{"/read/", "/write/"} {
			t.Run(test.name+path, func(t *testing.T) {
				e, sender, _ := newEngine(t, 3, ampleQuota, respondWith(200))
				state := e.options.ControlState.(controlState)
				state.stopPlan = test.plan
				e.options.ControlState = state
				response := e.Serve(context.Background(), requestFor(path))
				require.Equal(t, test.want, response.Status)
				if test.want == 503 {
					require.Equal(t, fleet.NotRun, response.Outcome)
					require.Equal(t, exchange.Stopping, response.Code)
					require.Positive(t, response.RetryAfter)
					require.Zero(t, sender.count(), "nothing was sent")
				}
			})
		}
	}
}

// lateConfig is a control state whose configuration is available once the loaded
// channel is closed.
type lateConfig struct {
	controlState
	loadedTable *route.Table
}

func (s lateConfig) Routes() *route.Table {
	select {
	case <-s.loaded:
		return s.loadedTable
	default:
		return s.table
	}
}

// TestServeWaitsForFirstConfig guards against refusals by an instance that loads its
// first configuration a moment later.
func TestServeWaitsForFirstConfig(t *testing.T) {
	e, _, _ := newEngine(t, 3, ampleQuota, respondWith(200))
	known := e.options.ControlState.(controlState)
	loaded := make(chan struct{})
	e.options.ControlState = lateConfig{controlState: controlState{table: route.NewState().Table(), upstream: known.upstream, loaded: loaded}, loadedTable: known.table}
	time.AfterFunc(20*time.Millisecond, func() { close(loaded) })
	require.Equal(t, 200, e.Serve(context.Background(), requestFor("/write/")).Status)
}

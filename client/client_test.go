package client_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// The HTTP client library ends its cleaners some seconds after the last use.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}

// seen is one request as an instance received it.
type seen struct {
	instance int
	token    string
	key      string
	path     string
	deadline string
	tenant   string
}

// fakeFleet is a fleet of two instances whose answers a test gives.
type fakeFleet struct {
	mu        sync.Mutex
	instances []*httptest.Server
	// live lists the instances that an assignment names, in order; later
	// replaces it after the first assignment if it is set.
	live     []int
	later    []int
	ttl      time.Duration
	asked    int
	requests []seen
	answer   func(instance int, w http.ResponseWriter, r *http.Request)
}

func newFleet(t *testing.T, answer func(instance int, w http.ResponseWriter, r *http.Request)) *fakeFleet {
	t.Helper()
	f := &fakeFleet{live: []int{0, 1}, ttl: time.Minute, answer: answer}
	for i := range 2 {
		f.instances = append(f.instances, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.serve(i, w, r)
		})))
		t.Cleanup(f.instances[i].Close)
	}
	return f
}

func (f *fakeFleet) serve(instance int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/assign" {
		f.assign(w, r)
		return
	}
	f.mu.Lock()
	f.requests = append(f.requests, seen{
		instance, r.Header.Get("Galenaridge-Token"), r.Header.Get("Galenaridge-Key"),
		r.RequestURI, r.Header.Get("Galenaridge-Deadline"), r.Header.Get("Galenaridge-Tenant"),
	})
	f.mu.Unlock()
	f.answer(instance, w, r)
}

func (f *fakeFleet) assign(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	addresses := []map[string]string{}
	for _, i := range f.live {
		addresses = append(addresses, map[string]string{"address": string(f.address(i)), "domain": r.URL.Query().Get("domain")})
	}
	if f.later != nil {
		f.live = f.later
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"service": r.URL.Query().Get("service"), "version": 1, "addresses": addresses,
		"ttl_ms": f.ttl.Milliseconds(), "token": "token-" + string(rune('0'+f.asked)), "token_ttl_ms": 600000,
	})
}

func (f *fakeFleet) address(i int) fleet.Address {
	return fleet.Address(f.instances[i].Listener.Addr().String())
}

func (f *fakeFleet) log() ([]seen, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.requests...), f.asked
}

// connect returns a client that prefers the first address always, and whose
// only entry is the last instance.
func connect(t *testing.T, f *fakeFleet, o client.Options) *client.Client {
	t.Helper()
	o.Entries = []fleet.Address{f.address(1)}
	o.Seed = 1
	if o.FirstAddressShare == 0 {
		o.FirstAddressShare = 1
	}
	c, err := client.New(o)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func done(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Galenaridge-Outcome", "done")
	_, _ = w.Write([]byte("body"))
}

func refuse(outcome, code string) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Galenaridge-Outcome", outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]any{"code": code, "outcome": outcome, "after_ms": 250, "message": "m"})
	}
}

func abort(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Galenaridge-Outcome", "done")
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("part"))
	panic(http.ErrAbortHandler)
}

// Guards against an outcome that claims more than is known.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		answer func(int, http.ResponseWriter, *http.Request)
		want   client.Result
		failed bool
	}{
		{"done", done, client.Result{Outcome: fleet.Done, Status: 200, Body: []byte("body"), SendCount: 1}, false},
		{
			"not run", refuse("not-run", "overloaded"),
			client.Result{Outcome: fleet.NotRun, Code: exchange.Overloaded, Status: 503, RetryAfter: 250 * time.Millisecond, Message: "m", SendCount: 1},
			false,
		},
		{
			"unknown", refuse("unknown", "home_lost"),
			client.Result{Outcome: fleet.Unknown, Code: exchange.HomeLost, Status: 503, RetryAfter: 250 * time.Millisecond, Message: "m", SendCount: 1},
			false,
		},
		{"no outcome", func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, client.Result{Status: 200, Body: []byte("x"), SendCount: 1}, false},
		{"connection lost", abort, client.Result{Code: client.NoAnswer, SendCount: 1}, true},
		{"truncated", truncate, client.Result{Code: client.NoAnswer, SendCount: 1}, true},
		{
			"retry after in seconds", func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Galenaridge-Outcome", "not-run")
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			client.Result{Outcome: fleet.NotRun, Status: 503, RetryAfter: 2 * time.Second, SendCount: 1},
			false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, test.answer)
			c := connect(t, f, client.Options{})
			got, err := c.Do(t.Context(), client.Request{Service: "svc", Method: "GET", Path: "/x?y=1", Tenant: "acme"})
			assert.Equal(t, test.failed, err != nil)
			assert.Equal(t, f.address(0), got.Address)
			got.Address, got.Headers = "", nil
			if test.want.Code != "" && test.want.Status != 0 || len(got.Body) == 0 {
				got.Body = nil
			}
			assert.Equal(t, test.want, got)
			requests, _ := f.log()
			require.Len(t, requests, 1, "a request is sent once")
			assert.Equal(t, "/svc/x?y=1", requests[0].path)
			assert.Equal(t, "acme", requests[0].tenant)
			assert.NotEmpty(t, requests[0].deadline)
			assert.Empty(t, requests[0].key)
		})
	}
}

// Guards against a protected request that is sent again under another key or
// token, or without leave.
func TestProtectedResend(t *testing.T) {
	tests := []struct {
		name    string
		resend  int
		key     fleet.Key
		answer  func(int, http.ResponseWriter, *http.Request)
		sent    int
		outcome fleet.Outcome
	}{
		{"done", 3, "k", done, 1, fleet.Done},
		{"not run is final", 3, "k", refuse("not-run", "refused"), 1, fleet.NotRun},
		{"no leave", 0, "k", abort, 1, fleet.Unknown},
		{"leave for lost connections", 2, "k", abort, 3, fleet.Unknown},
		{"leave for unknown", 1, "", refuse("unknown", "upstream_lost"), 2, fleet.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, test.answer)
			c := connect(t, f, client.Options{FirstAddressShare: 0.01})
			got, _ := c.Do(t.Context(), client.Request{
				Service: "svc", Method: "POST", Path: "/", Protected: true, Key: test.key, MaxResends: test.resend,
			})
			assert.Equal(t, test.outcome, got.Outcome)
			assert.Equal(t, test.sent, got.SendCount)
			requests, _ := f.log()
			require.Len(t, requests, test.sent)
			for _, r := range requests {
				assert.Equal(t, "token-1", r.token)
				assert.Equal(t, string(got.Key), r.key)
				assert.Equal(t, 0, r.instance, "protected requests go to the home")
			}
			if test.key != "" {
				assert.Equal(t, test.key, got.Key)
			}
			assert.NotEmpty(t, got.Key)
		})
	}
}

// Guards against requests that keep going to an instance that is gone or
// leaving, and against a token whose home is known to be gone.
func TestMovesOn(t *testing.T) {
	move := func(instance int, w http.ResponseWriter, r *http.Request) {
		if instance == 0 {
			w.Header().Set("Galenaridge-Move", "1")
		}
		done(instance, w, r)
	}
	tests := []struct {
		name      string
		answer    func(int, http.ResponseWriter, *http.Request)
		killed    bool
		protected bool
		instances []int
		asked     int
		token     string
	}{
		{"told to move", move, false, false, []int{0, 1}, 2, ""},
		{"refused", done, true, false, []int{1, 1}, 1, ""},
		{"refused at the home", done, true, true, []int{1, 1}, 2, "token-2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, test.answer)
			f.later = []int{1}
			if test.killed {
				f.instances[0].Close()
			}
			c := connect(t, f, client.Options{})
			for range 2 {
				got, err := c.Do(t.Context(), client.Request{Service: "svc", Method: "POST", Path: "/", Protected: test.protected})
				require.NoError(t, err)
				assert.Equal(t, fleet.Done, got.Outcome)
			}
			requests, asked := f.log()
			for i, r := range requests {
				assert.Equal(t, test.instances[i], r.instance)
				assert.Equal(t, test.token, r.token)
			}
			assert.Equal(t, test.asked, asked)
		})
	}
}

// Guards against an assignment that is used past its end, or renewed so late
// that requests wait for it.
func TestAssignmentLife(t *testing.T) {
	tests := []struct {
		name    string
		advance time.Duration
		asked   int
	}{
		{"fresh", time.Second, 1},
		{"near its end", 55 * time.Second, 2},
		{"over", 61 * time.Second, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, done)
			// Deadlines of the network are real, so the fake clock starts now.
			clock := clockwork.NewFakeClockAt(time.Now())
			c := connect(t, f, client.Options{Clock: clock, Deadline: time.Hour})
			for range 2 {
				_, err := c.Do(context.Background(), client.Request{Service: "svc", Method: "GET", Path: "/"})
				require.NoError(t, err)
				clock.Advance(test.advance)
			}
			assert.Eventually(t, func() bool {
				_, asked := f.log()
				return asked == test.asked
			}, time.Second, time.Millisecond)
		})
	}
}

// Guards against a first address that takes all of the load, or none.
func TestSpread(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		least int
		most  int
	}{
		{"default", 0, 120, 190},
		{"all", 1, 200, 200},
		{"half", 0.5, 70, 130},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, done)
			c, err := client.New(client.Options{Entries: []fleet.Address{f.address(0)}, FirstAddressShare: test.share, Seed: 7})
			require.NoError(t, err)
			defer c.Close()
			for range 200 {
				_, err := c.Do(context.Background(), client.Request{Service: "svc", Method: "GET", Path: "/"})
				require.NoError(t, err)
			}
			first := 0
			requests, _ := f.log()
			for _, r := range requests {
				if r.instance == 0 {
					first++
				}
			}
			assert.GreaterOrEqual(t, first, test.least)
			assert.LessOrEqual(t, first, test.most)
		})
	}
}

// Guards against a request that was never sent and is told as unknown, which
// would make a caller check what cannot have run.
func TestNeverSent(t *testing.T) {
	tests := []struct {
		name    string
		request client.Request
		code    exchange.Code
		cancel  bool
	}{
		{"no service", client.Request{Method: "GET", Path: "/"}, exchange.BadRequest, false},
		{"no fleet", client.Request{Service: "svc", Method: "POST", Path: "/", Protected: true}, client.NoAssignment, false},
		{"canceled before", client.Request{Service: "svc", Method: "GET", Path: "/"}, exchange.Canceled, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, done)
			for _, s := range f.instances {
				s.Close()
			}
			c := connect(t, f, client.Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.cancel {
				cancel()
			}
			got, err := c.Do(ctx, test.request)
			require.Error(t, err)
			assert.Equal(t, fleet.NotRun, got.Outcome)
			assert.Equal(t, test.code, got.Code)
		})
	}
}

// Guards against an unknown outcome for a request that met a connection that
// the instance had closed before.
func TestIdleConnectionClosed(t *testing.T) {
	tests := []struct {
		name      string
		protected bool
		restart   bool
	}{
		{"closed by the instance", false, false},
		{"closed by the instance, protected", true, false},
		{"instance gone, protected", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, done)
			f.later = []int{1}
			c := connect(t, f, client.Options{})
			request := client.Request{Service: "svc", Method: "POST", Path: "/", Protected: test.protected}
			_, err := c.Do(t.Context(), request)
			require.NoError(t, err)
			if test.restart {
				f.instances[0].Close()
			} else {
				f.instances[0].CloseClientConnections()
			}
			got, err := c.Do(t.Context(), request)
			require.NoError(t, err)
			assert.Equal(t, fleet.Done, got.Outcome)
			assert.Equal(t, 1, got.SendCount)
			requests, _ := f.log()
			assert.Len(t, requests, 2)
		})
	}
}

// Guards against a hung entry address that holds up all requests.
func TestEntryHangs(t *testing.T) {
	tests := []struct {
		name string
		hung int
	}{
		{"none", 0},
		{"one", 1},
		{"three", 3},
	}
	hung, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = hung.Close() }()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, done)
			entries := []fleet.Address{f.address(0)}
			for range test.hung {
				entries = append(entries, fleet.Address(hung.Addr().String()))
			}
			c, err := client.New(client.Options{Entries: entries, Seed: 1})
			require.NoError(t, err)
			defer c.Close()
			began := time.Now()
			got, err := c.Do(context.Background(), client.Request{Service: "svc", Method: "GET", Path: "/"})
			require.NoError(t, err)
			assert.Equal(t, fleet.Done, got.Outcome)
			assert.Less(t, time.Since(began), 700*time.Millisecond)
		})
	}
}

// Guards against a Do that outlives its context.
func TestCancelDuringExchange(t *testing.T) {
	release := make(chan struct{})
	f := newFleet(t, func(int, http.ResponseWriter, *http.Request) { <-release })
	c := connect(t, f, client.Options{Deadline: 300 * time.Millisecond})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	began := time.Now()
	got, err := c.Do(ctx, client.Request{Service: "svc", Method: "GET", Path: "/"})
	require.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, fleet.Unknown, got.Outcome)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
}

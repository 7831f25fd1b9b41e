package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a server with the given options, but with at least one slot.
func startServer(t *testing.T, options server.Options) (*server.Server, *http.Client) {
	t.Helper()
	options.ID, options.Service = "s1", "bundle-svc"
	options.Listen, options.Control = "127.0.0.1:0", "127.0.0.1:0"
	options.Slots = max(options.Slots, 1)
	s, err := server.Start(options, clockwork.NewRealClock())
	require.NoError(t, err)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		s.Close()
	})
	return s, &http.Client{Transport: transport}
}

// response is the response to one request.
type response struct {
	status int
	header http.Header
	body   []byte
}

// get sends a GET request with the given header names and values in turn.
func get(ctx context.Context, s *server.Server, c *http.Client, path string, headers ...string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(s.ListenAddress())+path, http.NoBody)
	if err != nil {
		return response{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, body}, err
}

// TestResponses guards against responses in which a client cannot detect a wrong
// or truncated body, and against rejected requests that count as run.
func TestResponses(t *testing.T) {
	pastDeadline := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	newShortDeadline := func() string { return strconv.FormatInt(time.Now().Add(30*time.Millisecond).UnixMilli(), 10) }
	tests := []struct {
		name      string
		fault     server.Fault
		mean      time.Duration
		headers   []string
		status    int
		size      int
		truncated bool
		starts    int
	}{
		{name: "json", status: 200, size: -1, starts: 1},
		{name: "sized", headers: []string{server.HeaderBodySize, "70000"}, status: 200, size: 70000, starts: 1},
		{name: "bad size", headers: []string{server.HeaderBodySize, "x"}, status: 400, size: -1},
		{name: "bad deadline", headers: []string{server.HeaderDeadline, "x"}, status: 400, size: -1},
		{name: "past deadline", headers: []string{server.HeaderDeadline, pastDeadline}, status: 504, size: -1},
		{name: "deadline during work", mean: time.Minute, headers: []string{server.HeaderDeadline, newShortDeadline()}, status: 504, size: -1, starts: 1},
		{name: "fail", fault: server.Fault{Kind: server.FaultFail}, status: 500, size: -1, starts: 1},
		{name: "truncate", fault: server.Fault{Kind: server.FaultTruncate}, status: 200, truncated: true, starts: 1},
		{name: "stall until deadline", fault: server.Fault{Kind: server.FaultStall}, headers: []string{server.HeaderDeadline, newShortDeadline()}, status: 504, size: -1, starts: 1},
		{name: "flap stalls first", fault: server.Fault{Kind: server.FaultFlap, Period: jsontime.Duration(time.Minute)}, headers: []string{server.HeaderDeadline, newShortDeadline()}, status: 504, size: -1, starts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := startServer(t, server.Options{Mean: jsontime.Duration(test.mean)})
			require.NoError(t, s.SetFault(test.fault))
			headers := append([]string{server.HeaderCaller, "c1", server.HeaderKey, "k1"}, test.headers...)
			// The deadline is computed when the request is sent, since the one in the
			// table may already have passed.
			if i := len(headers) - 1; headers[i-1] == server.HeaderDeadline && test.starts == 1 {
				headers[i] = newShortDeadline()
			}
			got, err := get(t.Context(), s, c, "/x", headers...)
			if test.truncated {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				assert.Equal(t, test.status, got.status)
				assert.NotEmpty(t, got.header.Get(server.HeaderLoad))
			}
			if !test.truncated && test.status == 200 {
				assert.Equal(t, "c1", got.header.Get(server.HeaderCaller))
				assert.Equal(t, server.Digest(got.body), got.header.Get(server.HeaderBodyDigest))
			}
			if test.size >= 0 && !test.truncated {
				assert.Len(t, got.body, test.size)
			}
			assert.Equal(t, test.starts, s.Keys()["k1"])
		})
	}
}

// TestHealthIgnoresFaults guards against health probes that fail during a partial
// fault. Any prober would then detect the fault, also one that relies on health
// probes alone.
func TestHealthIgnoresFaults(t *testing.T) {
	tests := []server.FaultKind{server.FaultNone, server.FaultStall, server.FaultFail, server.FaultFlap, server.FaultTruncate}
	for _, kind := range tests {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			s, c := startServer(t, server.Options{})
			require.NoError(t, s.SetFault(server.Fault{Kind: kind}))
			startedAt := time.Now()
			got, err := get(t.Context(), s, c, "/healthz")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.GreaterOrEqual(t, time.Since(startedAt), 25*time.Millisecond)
			assert.Zero(t, s.Stats().Started)
		})
	}
}

// TestLimits guards against peaks that do not include the requests and connections
// beyond the limits, which would hide that a client exceeds them. The requests are
// sent one after the other. Requests with a slot stay in flight, and a shed request
// leaves its connection to the next.
func TestLimits(t *testing.T) {
	tests := []struct {
		name         string
		conns        fleet.Conns
		requests     int
		shed         int
		peakRequests int
		peakConns    int
	}{
		{name: "within", requests: 2, peakRequests: 2, peakConns: 2},
		{name: "beyond slots", requests: 5, shed: 3, peakRequests: 3, peakConns: 3},
		{name: "beyond connections", conns: 2, requests: 3, peakRequests: 2, peakConns: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := startServer(t, server.Options{Slots: 2, MaxConns: test.conns})
			require.NoError(t, s.SetFault(server.Fault{Kind: server.FaultStall}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group sync.WaitGroup
			for i := range 2 {
				group.Go(func() { _, _ = get(ctx, s, c, "/") })
				require.Eventually(t, func() bool { return s.Stats().InFlight == i+1 }, 5*time.Second, time.Millisecond)
			}
			for range test.requests - 2 {
				got, err := get(ctx, s, c, "/")
				if test.conns > 0 {
					require.Error(t, err)
				} else {
					require.NoError(t, err)
					assert.Equal(t, http.StatusServiceUnavailable, got.status)
				}
			}
			stats := s.Stats()
			assert.Equal(t, test.shed, stats.Shed)
			assert.Equal(t, test.peakRequests, stats.PeakRequests)
			assert.Equal(t, test.peakConns, stats.PeakConns)
			cancel()
			group.Wait()
			assert.Eventually(t, func() bool { return s.Stats().Aborted == 2 }, 5*time.Second, time.Millisecond,
				"a client that closes its connection must free its slot")
		})
	}
}

// TestControl guards against a control listener that accepts a misspelled fault and
// leaves the server healthy, so that an experiment runs without its fault.
func TestControl(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		body   string
		status int
		check  func(t *testing.T, s *server.Server, c *http.Client)
	}{
		{"unknown kind", "/fault", `{"kind":"bend"}`, 400, nil},
		{"unknown field", "/fault", `{"kind":"slow","facter":2}`, 400, nil},
		{"slow without a factor", "/fault", `{"kind":"slow"}`, 400, nil},
		{"share above 1", "/fault", `{"kind":"fail","share":50}`, 400, nil},
		{"misreport", "/fault", `{"kind":"none","load":7}`, 204, func(t *testing.T, s *server.Server, c *http.Client) {
			got, err := get(t.Context(), s, c, "/")
			require.NoError(t, err)
			assert.Equal(t, "7", got.header.Get(server.HeaderLoad))
		}},
		{"drain", "/drain", ``, 204, func(t *testing.T, s *server.Server, c *http.Client) {
			got, err := get(t.Context(), s, c, "/")
			require.NoError(t, err)
			assert.Equal(t, "1", got.header.Get(server.HeaderDraining))
			assert.Equal(t, 1, s.Stats().StartedAfterDrain)
		}},
		{"refuse and return", "/fault", `{"kind":"refuse"}`, 204, func(t *testing.T, s *server.Server, c *http.Client) {
			_, err := get(t.Context(), s, c, "/healthz")
			require.Error(t, err)
			require.NoError(t, s.SetFault(server.Fault{}))
			_, err = get(t.Context(), s, c, "/")
			require.NoError(t, err)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := startServer(t, server.Options{})
			url := "http://" + string(s.ControlAddress())
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+test.path, bytes.NewBufferString(test.body))
			require.NoError(t, err)
			resp, err := c.Do(r)
			require.NoError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, test.status, resp.StatusCode)
			if test.check != nil {
				test.check(t, s, c)
			}
			r, err = http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/stats", http.NoBody)
			require.NoError(t, err)
			resp, err = c.Do(r)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			var stats server.Stats
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&stats))
			assert.Equal(t, fleet.ServerID("s1"), stats.ID)
		})
	}
}

// TestBusy guards against a busy time that omits requests in flight or includes
// idle time.
func TestBusy(t *testing.T) {
	const mean = 100 * time.Millisecond
	s, c := startServer(t, server.Options{Mean: jsontime.Duration(mean)})
	_, err := get(t.Context(), s, c, "/a")
	require.NoError(t, err)
	busyAfterRequest := s.Stats().Busy.Std()
	assert.GreaterOrEqual(t, busyAfterRequest, mean)
	time.Sleep(mean / 4)
	assert.Equal(t, busyAfterRequest, s.Stats().Busy.Std(), "idle")
	require.NoError(t, s.SetFault(server.Fault{Kind: server.FaultStall}))
	ctx, cancel := context.WithTimeout(t.Context(), mean)
	defer cancel()
	_, err = get(ctx, s, c, "/a")
	require.Error(t, err)
	assert.GreaterOrEqual(t, s.Stats().Busy.Std(), busyAfterRequest+mean/2, "in progress or aborted")
}

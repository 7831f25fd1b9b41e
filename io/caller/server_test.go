package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

func TestMain(m *testing.M) {
	// fasthttp keeps one goroutine for the Date header, and the one that ends
	// idle workers of a closed server sleeps for up to 10 s before it ends.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// fixed is a Policy, an Assigner and a Stopping with fixed answers.
type fixed struct{ stopping, unready atomic.Bool }

func (f *fixed) Ready() bool { return !f.unready.Load() }

func (*fixed) MaxDeadline(service fleet.ServiceName) (time.Duration, bool) {
	return 2 * time.Second, service == "svc"
}

func (*fixed) Class(tenant fleet.Tenant) (fleet.Class, bool) { return "small", tenant == "t1" }

func (*fixed) Limits() config.Limits { return config.Limits{MaxBodyBytes: 16, MaxHeaderBytes: 512} }

func (f *fixed) Stopping() bool { return f.stopping.Load() }

func (*fixed) Assign(service fleet.ServiceName, domain fleet.Domain) (Assignment, error) {
	if service != "svc" {
		return Assignment{}, &Refusal{Response: exchange.Refuse(exchange.NoService, "not configured")}
	}
	return Assignment{
		Service: service, Version: 7, TTL: 5 * time.Second, Token: "tok", TokenTTL: time.Minute,
		Endpoints: []Endpoint{{"10.0.0.1:80", domain}},
	}, nil
}

// handlerFunc is a Handler.
type handlerFunc func(ctx context.Context, request exchange.Request, token string) Result

func (f handlerFunc) Serve(ctx context.Context, request exchange.Request, token string) Result {
	return f(ctx, request, token)
}

// start runs a server and returns its address.
func start(t testing.TB, handler handlerFunc, change func(o *Options)) (*Server, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	parts := &fixed{}
	options := Options{
		Clock: clockwork.NewRealClock(), Handler: handler, Assigner: parts, Policy: parts, Stopping: parts,
		Log: log, Metrics: metrics.NewSet(), MaxHeaderBytes: 1024, ReadTimeout: 100 * time.Millisecond, IdleTimeout: time.Second,
	}
	if change != nil {
		change(&options)
	}
	server := New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown(context.Background()))
		wg.Wait()
	})
	return server, listener.Addr().String()
}

type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *caller {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, socket.SetDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { socket.Close() })
	return &caller{socket, bufio.NewReader(socket)}
}

func (c *caller) send(text string) { _, _ = io.WriteString(c.Conn, text) }

// reply is a whole response.
type reply struct {
	status int
	header http.Header
	closes bool
	body   string
}

// receive reads a whole response.
func (c *caller) receive(t testing.TB, method string) reply {
	t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return reply{response.StatusCode, response.Header, response.Close, string(body)}
}

func done(body string, headers ...exchange.Header) Result {
	return Result{Response: exchange.Response{Outcome: fleet.Done, Status: 200, Body: []byte(body), Headers: headers}}
}

// TestServe guards against malformed requests that reach the handler, and
// answers without an outcome.
func TestServe(t *testing.T) {
	long := strings.Repeat("a", 600)
	tests := []struct {
		name    string
		send    string
		status  int
		outcome string
		body    string
	}{
		{"get", "GET /svc/a/b?c=%2F HTTP/1.1\r\nHost: x\r\n\r\n", 200, "done", "GET /a/b?c=%2F  2s"},
		{"root", "GET /svc/ HTTP/1.1\r\nHost: x\r\n\r\n", 200, "done", "GET /  2s"},
		{"post", "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", 200, "done", "POST /a hi 2s"},
		{"form", "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 2\r\n\r\nhi", 200, "done", "POST /a hi 2s"},
		{"chunked", "POST /svc/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "done", "POST /a hi 2s"},
		{"deadline", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Deadline: 250\r\n\r\n", 200, "done", "GET /a  250ms"},
		{"long deadline", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Deadline: 9000\r\n\r\n", 200, "done", "GET /a  2s"},
		{"no deadline left", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Deadline: 0\r\n\r\n", 400, "not-run", "bad_request"},
		{"negative deadline", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Deadline: -5\r\n\r\n", 400, "not-run", "bad_request"},
		{"two keys", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Key: a\r\nGalenaridge-Key: b\r\n\r\n", 400, "not-run", "bad_request"},
		{"key with space", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Key: a b\r\n\r\n", 400, "not-run", "bad_request"},
		{"tenant with quote", "GET /svc/a HTTP/1.1\r\nHost: x\r\nGalenaridge-Tenant: a\"b\r\n\r\n", 400, "not-run", "bad_request"},
		{"unknown service", "GET /nope/a HTTP/1.1\r\nHost: x\r\n\r\n", 404, "not-run", "no_service"},
		{"no path", "GET /svc HTTP/1.1\r\nHost: x\r\n\r\n", 400, "not-run", "bad_request"},
		{"dot segment", "GET /svc/a/../b HTTP/1.1\r\nHost: x\r\n\r\n", 400, "not-run", "bad_request"},
		{"encoded dot segment", "GET /svc/a%2f%2E%2e%2fb HTTP/1.1\r\nHost: x\r\n\r\n", 400, "not-run", "bad_request"},
		{"trace", "TRACE /svc/a HTTP/1.1\r\nHost: x\r\n\r\n", 400, "not-run", "bad_request"},
		{"large body", "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 17\r\n\r\n12345678901234567", 413, "not-run", "too_large"},
		{"large header", "GET /svc/a HTTP/1.1\r\nHost: x\r\nX: " + long + "\r\n\r\n", 413, "not-run", "too_large"},
		{"larger header", "GET /svc/a HTTP/1.1\r\nHost: x\r\nX: " + long + long + "\r\n\r\n", 413, "not-run", "too_large"},
		{"slow header", "GET /svc/a HTTP/1.1\r\nHost", 400, "not-run", "bad_request"},
		{"slow body", "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nh", 400, "not-run", "bad_request"},
		{"two lengths", "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", 400, "not-run", "bad_request"},
		{
			"assign", "GET /-/assign?service=svc&domain=d1 HTTP/1.1\r\nHost: x\r\n\r\n", 200, "done",
			`{"service":"svc","version":7,"addresses":[{"address":"10.0.0.1:80","domain":"d1"}],"ttl_ms":5000,"token":"tok","token_ttl_ms":60000}`,
		},
		{"assign unknown", "GET /-/assign?service=x HTTP/1.1\r\nHost: x\r\n\r\n", 404, "not-run", "no_service"},
		{"assign nothing", "GET /-/assign HTTP/1.1\r\nHost: x\r\n\r\n", 400, "not-run", "bad_request"},
		{"unknown route", "GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n", 404, "not-run", "no_service"},
	}
	clock := clockwork.NewFakeClock()
	_, address := start(t, func(_ context.Context, r exchange.Request, _ string) Result {
		left := r.Deadline.Sub(clock.Now())
		return done(r.Method + " " + r.URI + " " + string(r.Body) + " " + left.String())
	}, func(o *Options) { o.Clock = clock })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, address)
			c.send(tt.send)
			got := c.receive(t, "GET")
			require.Equal(t, tt.status, got.status)
			require.Equal(t, tt.outcome, got.header.Get("Galenaridge-Outcome"))
			require.Contains(t, got.body, tt.body)
		})
	}
}

// TestServeCopy guards against "not-run" for a copy of a protected request
// whose home may have run another copy.
func TestServeCopy(t *testing.T) {
	const token = "Galenaridge-Token: t\r\nGalenaridge-Key: k\r\n"
	tests := []struct {
		name    string
		service string
		headers string
		unready bool
		status  int
		outcome string
		body    string
	}{
		{"not ready", "svc", "", true, 503, "not-run", "not_ready"},
		{"not ready, with token", "svc", token, true, 504, "unknown", "not_ready"},
		{"unknown service, with token", "nope", token, false, 504, "unknown", "no_service"},
		{"bad key, with token", "svc", token + "Galenaridge-Key: k\r\n", false, 400, "not-run", "bad_request"},
	}
	parts := &fixed{}
	_, address := start(t, func(context.Context, exchange.Request, string) Result { return done("ran") },
		func(o *Options) { o.Policy = parts })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			parts.unready.Store(tt.unready)
			c := dial(t, address)
			c.send("POST /" + tt.service + "/a HTTP/1.1\r\nHost: x\r\n" + tt.headers + "Content-Length: 0\r\n\r\n")
			got := c.receive(t, "POST")
			require.Equal(t, tt.status, got.status)
			require.Equal(t, tt.outcome, got.header.Get("Galenaridge-Outcome"))
			require.Contains(t, got.body, tt.body)
		})
	}
}

// TestServeResult guards against answers that lose a header or whose framing
// a server's headers can change.
func TestServeResult(t *testing.T) {
	overloaded := exchange.Refuse(exchange.Overloaded, "wait")
	overloaded.RetryAfter = 1200 * time.Millisecond
	tests := []struct {
		name    string
		method  string
		result  Result
		status  int
		headers map[string]string
		body    string
	}{
		{"minted", "GET", Result{Response: done("x").Response, Token: "t", Key: "k"}, 200, map[string]string{"Galenaridge-Token": "t", "Galenaridge-Key": "k"}, "x"},
		{"framing", "GET", done("x", exchange.Header{Name: "Content-Length", Value: "9"}, exchange.Header{Name: "Transfer-Encoding", Value: "chunked"},
			exchange.Header{Name: "Galenaridge-Outcome", Value: "not-run"}, exchange.Header{Name: "X-Kept", Value: "1"}), 200, map[string]string{"X-Kept": "1", "Content-Length": "1"}, "x"},
		{"head", "HEAD", done("", exchange.Header{Name: "Content-Length", Value: "9"}), 200, map[string]string{"Content-Length": "9"}, ""},
		{"no status", "GET", Result{Response: exchange.Response{Outcome: fleet.Done}}, 504, map[string]string{"Galenaridge-Outcome": "unknown"}, "upstream_lost"},
		{
			"refused", "GET",
			Result{Response: overloaded},
			503,
			map[string]string{"Retry-After": "2", "Galenaridge-Outcome": "not-run"},
			`{"code":"overloaded","outcome":"not-run","retry":true,"after_ms":1200,"message":"wait"}`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := start(t, func(context.Context, exchange.Request, string) Result { return tt.result }, nil)
			c := dial(t, address)
			c.send(tt.method + " /svc/a HTTP/1.1\r\nHost: x\r\n\r\n")
			got := c.receive(t, tt.method)
			require.Equal(t, tt.status, got.status)
			for name, value := range tt.headers {
				require.Equal(t, []string{value}, got.header[name], name)
			}
			require.Contains(t, got.body, tt.body)
		})
	}
}

// TestServePipelined guards against the watch for disconnects taking bytes of
// the next request, and against buffers shared between requests.
func TestServePipelined(t *testing.T) {
	kept := make(chan exchange.Request, 3)
	_, address := start(t, func(_ context.Context, r exchange.Request, _ string) Result {
		kept <- r
		time.Sleep(5 * time.Millisecond)
		return done(r.URI)
	}, nil)
	c := dial(t, address)
	c.send("POST /svc/1 HTTP/1.1\r\nHost: x\r\nX-A: one\r\nContent-Length: 1\r\n\r\n1")
	time.Sleep(2 * time.Millisecond)
	c.send("POST /svc/2 HTTP/1.1\r\nHost: x\r\nX-A: two\r\nContent-Length: 1\r\n\r\n2POST /svc/3 HTTP/1.1\r\nHost: x\r\nX-A: six\r\nContent-Length: 1\r\n\r\n3")
	for _, uri := range []string{"/1", "/2", "/3"} {
		got := c.receive(t, "POST")
		require.Equal(t, uri, got.body)
	}
	first := <-kept
	require.Equal(t, "one", first.Headers[1].Value)
	require.Equal(t, "1", string(first.Body))
}

// TestServeDisconnect guards against work for callers that went away.
func TestServeDisconnect(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *caller)
	}{
		{"close", func(c *caller) { c.Close() }},
		{"reset", func(c *caller) {
			if socket, ok := c.Conn.(*net.TCPConn); ok {
				_ = socket.SetLinger(0)
			}
			c.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			running, ended := make(chan struct{}), make(chan error, 1)
			_, address := start(t, func(ctx context.Context, _ exchange.Request, _ string) Result {
				close(running)
				select {
				case <-ctx.Done():
					ended <- ctx.Err()
				case <-time.After(3 * time.Second):
					ended <- nil
				}
				return done("")
			}, nil)
			c := dial(t, address)
			c.send("GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n")
			<-running
			// The deadline for reading passes, and must not end the context.
			time.Sleep(150 * time.Millisecond)
			require.Empty(t, ended)
			tt.leave(c)
			require.ErrorIs(t, <-ended, context.Canceled)
		})
	}
}

// TestShutdown guards against a planned stop that cuts requests in flight.
func TestShutdown(t *testing.T) {
	parts := &fixed{}
	running := make(chan struct{})
	server, address := start(t, func(ctx context.Context, _ exchange.Request, _ string) Result {
		running <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, ctx.Err())
		return done("whole")
	}, func(o *Options) { o.Stopping = parts })
	c := dial(t, address)
	c.send("GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n")
	<-running
	parts.stopping.Store(true)
	var wg conc.WaitGroup
	wg.Go(func() { require.NoError(t, server.Shutdown(context.Background())) })
	got := c.receive(t, "GET")
	require.Equal(t, "whole", got.body)
	require.Equal(t, "1", got.header.Get("Galenaridge-Move"))
	require.True(t, got.closes)
	wg.Wait()
	_, err := net.Dial("tcp", address)
	require.Error(t, err)
}

// TestConnLimit guards against callers that use up all descriptors, and against
// "not run" for a request that was not read and may be a copy.
func TestConnLimit(t *testing.T) {
	_, address := start(t, func(context.Context, exchange.Request, string) Result { return done("x") }, func(o *Options) { o.MaxConns = 1 })
	first := dial(t, address)
	first.send("GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n")
	first.receive(t, "GET")
	second := dial(t, address)
	got := second.receive(t, "GET")
	require.Equal(t, 503, got.status)
	require.Contains(t, got.body, "too many connections")
	require.Equal(t, "unknown", got.header.Get("Galenaridge-Outcome"))
	first.Close()
	require.Eventually(t, func() bool {
		third := dial(t, address)
		defer third.Close()
		third.send("GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n")
		return third.receive(t, "GET").status == http.StatusOK
	}, time.Second, 10*time.Millisecond)
}

// TestSeries guards against labels that callers or other instances choose.
func TestSeries(t *testing.T) {
	set := metrics.NewSet()
	s := newSeries(set)
	s.observe("t1", "small", true, time.Second)
	s.observe("stranger", "", false, time.Second)
	for i := range 2 * maxCodes {
		s.count(answer{fleet.NotRun, strings.Repeat("c", i+1)})
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	require.Contains(t, text.String(), `tenant="t1",class="small"`)
	require.NotContains(t, text.String(), "stranger")
	require.Contains(t, text.String(), `galenaridge_requests_total{outcome="not-run",code="other"} 64`)
}

// TestPanic guards against a handler that panics and ends the process with all
// other requests in flight, or that leaves its caller without an outcome.
func TestPanic(t *testing.T) {
	_, address := start(t, func(context.Context, exchange.Request, string) Result { panic("handler fault") }, nil)
	c := dial(t, address)
	c.send("GET /svc/ HTTP/1.1\r\nHost: h\r\n\r\n")
	got := c.receive(t, http.MethodGet)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Equal(t, "unknown", got.header.Get(headerOutcome))
}

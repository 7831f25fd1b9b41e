package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeServer runs a script for each connection.
type fakeServer struct {
	listener       net.Listener
	wg             conc.WaitGroup
	mu             sync.Mutex
	requestHeads   []string
	closedByClient chan struct{}
}

// serve starts a fake server. Connection i runs scripts[i], or the last script if there
// are fewer.
func serve(t testing.TB, scripts ...func(c *fakeConn)) (*fakeServer, fleet.ListedServer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{listener: listener, closedByClient: make(chan struct{}, 64)}
	s.wg.Go(func() {
		for i := 0; ; i++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			script := scripts[min(i, len(scripts)-1)]
			s.wg.Go(func() {
				defer socket.Close()
				_ = socket.SetDeadline(time.Now().Add(5 * time.Second))
				script(&fakeConn{Conn: socket, reader: bufio.NewReader(socket), server: s})
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.wg.Wait()
	})
	return s, fleet.ListedServer{ID: "s1", Address: fleet.Address(listener.Addr().String())}
}

type fakeConn struct {
	net.Conn
	reader *bufio.Reader
	server *fakeServer
}

// readRequestHead reads the head of a request and reports whether a whole one was
// received.
func (c *fakeConn) readRequestHead() bool {
	var head strings.Builder
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			return false
		}
		head.WriteString(text)
		if text == "\r\n" {
			break
		}
	}
	c.server.mu.Lock()
	c.server.requestHeads = append(c.server.requestHeads, head.String())
	c.server.mu.Unlock()
	return true
}

func (c *fakeConn) writeString(text string) { _, _ = io.WriteString(c.Conn, text) }

// waitForClose waits until the client closes the connection.
func (c *fakeConn) waitForClose() {
	_, _ = io.Copy(io.Discard, c.reader)
	c.server.closedByClient <- struct{}{}
}

// respond sends the next of the texts after each request, then waits for the client to
// close the connection.
func respond(texts ...string) func(c *fakeConn) {
	return func(c *fakeConn) {
		for _, text := range texts {
			if !c.readRequestHead() {
				return
			}
			c.writeString(text)
		}
		c.waitForClose()
	}
}

// respondAndClose sends the text after one request and closes the connection.
func respondAndClose(text string) func(c *fakeConn) {
	return func(c *fakeConn) {
		if c.readRequestHead() {
			c.writeString(text)
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newClient(t testing.TB, options Options) *Client {
	t.Helper()
	options.Clock = clockwork.NewRealClock()
	client := New(options)
	t.Cleanup(client.Close)
	return client
}

func attemptTo(server fleet.ListedServer, wait time.Duration) Attempt {
	return Attempt{
		Server:     server,
		Request:    exchange.Request{Method: "GET", URI: "/x?y=1"},
		Permission: AlwaysAllowed{},
		Deadline:   time.Now().Add(wait),
	}
}

// TestDoResponses guards against truncated, malformed, oversized or late responses
// that count as complete.
func TestDoResponses(t *testing.T) {
	tests := []struct {
		name     string
		script   func(c *fakeConn)
		method   string
		progress Progress
		fault    Fault
		body     string
	}{
		{name: "whole", script: respond(okResponse), progress: Complete, body: "ok"},
		{name: "chunked", script: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"), progress: Complete, body: "abcd"},
		{name: "interim", script: respond("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse), progress: Complete, body: "ok"},
		{name: "head", method: "HEAD", script: respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), progress: Complete},
		{name: "no content", script: respond("HTTP/1.1 204 No Content\r\n\r\n"), progress: Complete},
		{name: "short", script: respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), progress: Written, fault: Broken},
		{name: "short chunk", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), progress: Written, fault: Broken},
		{name: "no last chunk", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), progress: Written, fault: Broken},
		{name: "no end of trailer", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"), progress: Written, fault: Broken},
		{name: "bad chunk size", script: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"), progress: Written, fault: Malformed},
		{name: "end by close", script: respondAndClose("HTTP/1.1 200 OK\r\n\r\nall of it?"), progress: Written, fault: Malformed},
		{name: "two lengths", script: respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"), progress: Written, fault: Malformed},
		{name: "closed before response", script: respondAndClose(""), progress: Written, fault: Broken},
		{name: "cut header", script: respondAndClose("HTTP/1.1 200 OK\r\nContent-"), progress: Written, fault: Broken},
		{name: "upgrade", script: respond("HTTP/1.1 101 Switching Protocols\r\n\r\n"), progress: Written, fault: Malformed},
		{name: "no http", script: respond("hello\r\n\r\n"), progress: Written, fault: Malformed},
		{name: "large", script: respond("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("a", 99)), progress: Written, fault: Oversized},
		{name: "large chunks", script: respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\nff\r\n"), progress: Written, fault: Oversized},
		{name: "late", script: respond(""), progress: Written, fault: TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, server := serve(t, tt.script)
			client := newClient(t, Options{MaxBodyBytes: 64})
			attempt := attemptTo(server, 250*time.Millisecond)
			if tt.method != "" {
				attempt.Request.Method = tt.method
			}
			response, evidence := client.Do(context.Background(), attempt)
			require.Equal(t, tt.progress, evidence.Progress, "%v", evidence.Err)
			if tt.progress == Complete {
				require.NoError(t, evidence.Err)
				require.Equal(t, fleet.Done, response.Outcome)
				require.Equal(t, tt.body, string(response.Body))
				return
			}
			require.True(t, IsFault(evidence.Err, tt.fault), "%v", evidence.Err)
			require.True(t, response.Refused())
			require.Equal(t, fleet.Unknown, response.Outcome)
		})
	}
}

// neverAllowed is a Permission that is always denied.
type neverAllowed struct{}

func (neverAllowed) MayWrite() bool { return false }

// TestDoUnwritten guards against a request that is written, or counts as written,
// although the attempt failed before its first byte.
func TestDoUnwritten(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	unreachable := fleet.ListedServer{ID: "s2", Address: fleet.Address(closed.Addr().String())}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		change func(a *Attempt)
		fault  Fault
		code   exchange.Code
	}{
		{"refused", context.Background(), func(a *Attempt) { a.Server = unreachable }, Unreachable, exchange.NoCapacity},
		{"denied", context.Background(), func(a *Attempt) { a.Permission = neverAllowed{} }, Denied, exchange.NotReady},
		{"no permission", context.Background(), func(a *Attempt) { a.Permission = nil }, Denied, exchange.NotReady},
		{"late", context.Background(), func(a *Attempt) { a.Deadline = time.Now().Add(-time.Second) }, TimedOut, exchange.Expired},
		{"canceled", canceled, func(*Attempt) {}, Canceled, exchange.Canceled},
		{"second line in URI", context.Background(), func(a *Attempt) { a.Request.URI = "/ HTTP/1.1\r\nX: y" }, Malformed, exchange.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake, server := serve(t, respond(okResponse))
			client := newClient(t, Options{})
			attempt := attemptTo(server, time.Second)
			tt.change(&attempt)
			response, evidence := client.Do(tt.ctx, attempt)
			require.True(t, IsFault(evidence.Err, tt.fault), "%v", evidence.Err)
			require.Equal(t, Unwritten, evidence.Progress)
			require.Equal(t, tt.code, response.Code)
			require.Equal(t, fleet.NotRun, response.Outcome)
			require.Equal(t, tt.name == "refused", evidence.Refused)
			client.Close()
			require.Empty(t, fake.requestHeads)
		})
	}
}

// TestDoReuse guards against a response that is taken for the response to another
// request, and against the reuse of a connection that was closed or has received bytes
// that belong to no response.
func TestDoReuse(t *testing.T) {
	type want struct {
		body     string
		reused   bool
		progress Progress
	}
	second := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
	tests := []struct {
		name    string
		scripts []func(c *fakeConn)
		between func(c *Client)
		want    []want
	}{
		{"kept", []func(c *fakeConn){respond(okResponse, second)}, nil, []want{{"ok", false, Complete}, {"two", true, Complete}}},
		{"closed while idle", []func(c *fakeConn){respondAndClose(okResponse), respond(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"announced close", []func(c *fakeConn){respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), respond(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"extra bytes", []func(c *fakeConn){respond(okResponse + okResponse), respond(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"extra bytes later", []func(c *fakeConn){func(c *fakeConn) {
			respondTwice(c)
		}, respond(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"closed after the write", []func(c *fakeConn){func(c *fakeConn) {
			c.readRequestHead()
			c.writeString(okResponse)
			c.readRequestHead()
		}, respond(second)}, nil, []want{{"ok", false, Complete}, {"", true, Written}}},
		{"late response", []func(c *fakeConn){func(c *fakeConn) {
			c.readRequestHead()
			time.Sleep(400 * time.Millisecond)
			c.writeString(okResponse)
		}, respond(second)}, nil, []want{{"", false, Written}, {"two", false, Complete}}},
		{"lease ended", []func(c *fakeConn){respond(okResponse), respond(second)}, (*Client).CloseIdleConnections, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"forgotten", []func(c *fakeConn){respond(okResponse), respond(second)}, func(c *Client) { c.CloseConnections("s1") }, []want{{"ok", false, Complete}, {"two", false, Complete}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, server := serve(t, tt.scripts...)
			client := newClient(t, Options{})
			for i, want := range tt.want {
				response, evidence := client.Do(context.Background(), attemptTo(server, 300*time.Millisecond))
				require.Equal(t, want.progress, evidence.Progress, "request %d: %v", i, evidence.Err)
				require.Equal(t, want.body, string(response.Body))
				require.Equal(t, want.reused, evidence.ReusedConnection)
				// The end of the stream and extra bytes may arrive shortly after
				// the response.
				time.Sleep(20 * time.Millisecond)
				if tt.between != nil {
					tt.between(client)
				}
			}
		})
	}
}

// respondTwice sends a second response 5 ms after the response to the only request.
func respondTwice(c *fakeConn) {
	c.readRequestHead()
	c.writeString(okResponse)
	time.Sleep(5 * time.Millisecond)
	c.writeString(okResponse)
	c.waitForClose()
}

// TestDoCancel guards against a connection that stays open after its attempt was
// canceled, so that the server keeps working, and against two attempts on one
// connection.
func TestDoCancel(t *testing.T) {
	tests := []struct {
		name string
		end  func(client *Client, cancel context.CancelFunc)
	}{
		{"cancel", func(_ *Client, cancel context.CancelFunc) { cancel() }},
		{"forget", func(client *Client, _ context.CancelFunc) { client.CloseConnections("s1") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived := make(chan struct{})
			fake, server := serve(t, func(c *fakeConn) {
				c.readRequestHead()
				close(arrived)
				c.waitForClose()
			})
			client := newClient(t, Options{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var wg conc.WaitGroup
			var evidence Evidence
			wg.Go(func() { _, evidence = client.Do(ctx, attemptTo(server, 5*time.Second)) })
			<-arrived
			_, other := client.Do(context.Background(), attemptTo(server, time.Second))
			require.True(t, IsFault(other.Err, SlotBusy))
			tt.end(client, cancel)
			wg.Wait()
			<-fake.closedByClient
			require.Equal(t, Written, evidence.Progress)
			var failure *Error
			require.True(t, errors.As(evidence.Err, &failure))
		})
	}
}

// TestDoHeaders guards against forwarded hop-by-hop headers and protocol headers.
func TestDoHeaders(t *testing.T) {
	fake, server := serve(t, respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUpstream-Load: 3\r\nUpstream-Draining: 1\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nGalenaridge-Outcome: not-run\r\nSet-Cookie: a=b; Path=/\r\nX-Kept: yes\r\n\r\n"))
	client := newClient(t, Options{DialAddresses: map[fleet.Address]fleet.Address{"192.0.2.1:80": server.Address}})
	server.Address = "192.0.2.1:80"
	attempt := attemptTo(server, time.Second)
	attempt.Request.Method = "POST"
	attempt.Request.Protected = true
	attempt.Request.Key = "k1"
	attempt.Request.Headers = []exchange.Header{
		{Name: "Connection", Value: "close, X-Private"},
		{Name: "X-Private", Value: "1"},
		{Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Content-Length", Value: "77"},
		{Name: "Upstream-Key", Value: "forged"},
		{Name: "Host", Value: "elsewhere"},
		{Name: "Cookie", Value: "a=1;b=2"},
		{Name: "X-Kept", Value: "no\r\nUpstream-Key: forged"},
	}
	response, evidence := client.Do(context.Background(), attempt)
	require.NoError(t, evidence.Err)
	require.True(t, evidence.Draining)
	require.True(t, evidence.LoadKnown)
	require.Equal(t, fleet.Slots(3), evidence.Load)
	require.ElementsMatch(t, []exchange.Header{{Name: "Set-Cookie", Value: "a=b; Path=/"}, {Name: "X-Kept", Value: "yes"}}, response.Headers)
	lines := strings.Split(strings.TrimSpace(fake.requestHeads[0]), "\r\n")
	require.Equal(t, "POST /x?y=1 HTTP/1.1", lines[0])
	require.Contains(t, lines, "Upstream-Key: k1")
	require.Contains(t, lines, "Cookie: a=1;b=2")
	require.Contains(t, lines, "Content-Length: 0")
	require.Contains(t, lines, "Host: 192.0.2.1:80")
	require.Len(t, lines, 7)
}

// TestProbe guards against a probe that reports a failing server as healthy.
func TestProbe(t *testing.T) {
	tests := []struct {
		name     string
		response string
		fault    Fault
		err      bool
	}{
		{name: "healthy", response: okResponse},
		{name: "failing", response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", fault: Unhealthy, err: true},
		{name: "silent", response: "", fault: TimedOut, err: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, server := serve(t, respond(tt.response))
			client := newClient(t, Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			duration, err := client.Probe(ctx, server)
			require.Equal(t, tt.err, err != nil, "%v", err)
			if tt.err {
				require.True(t, IsFault(err, tt.fault), "%v", err)
				return
			}
			require.Positive(t, duration)
		})
	}
}

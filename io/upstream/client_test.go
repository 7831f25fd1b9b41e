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

// fakeServer answers each connection by a script.
type fakeServer struct {
	listener net.Listener
	wg       conc.WaitGroup
	mu       sync.Mutex
	heads    []string
	ended    chan struct{}
}

// serve starts a fake server; the script of connection i is scripts[i], or
// the last one.
func serve(t testing.TB, scripts ...func(c *fakeConn)) (*fakeServer, fleet.ListedServer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{listener: listener, ended: make(chan struct{}, 64)}
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

// request reads the head of a request and reports whether one came.
func (c *fakeConn) request() bool {
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
	c.server.heads = append(c.server.heads, head.String())
	c.server.mu.Unlock()
	return true
}

func (c *fakeConn) send(text string) { _, _ = io.WriteString(c.Conn, text) }

// untilClosed waits for the client to close the connection.
func (c *fakeConn) untilClosed() {
	_, _ = io.Copy(io.Discard, c.reader)
	c.server.ended <- struct{}{}
}

// answers replies to each request with the texts in turn, then stays silent.
func answers(texts ...string) func(c *fakeConn) {
	return func(c *fakeConn) {
		for _, text := range texts {
			if !c.request() {
				return
			}
			c.send(text)
		}
		c.untilClosed()
	}
}

// closing replies to one request and closes the connection.
func closing(text string) func(c *fakeConn) {
	return func(c *fakeConn) {
		if c.request() {
			c.send(text)
		}
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

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

// TestDoResponses guards against short, malformed or endless responses that
// reach a caller as complete.
func TestDoResponses(t *testing.T) {
	tests := []struct {
		name     string
		script   func(c *fakeConn)
		method   string
		progress Progress
		fault    Fault
		body     string
	}{
		{name: "whole", script: answers(ok), progress: Complete, body: "ok"},
		{name: "chunked", script: answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"), progress: Complete, body: "abcd"},
		{name: "interim", script: answers("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok), progress: Complete, body: "ok"},
		{name: "head", method: "HEAD", script: answers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), progress: Complete},
		{name: "no content", script: answers("HTTP/1.1 204 No Content\r\n\r\n"), progress: Complete},
		{name: "short", script: closing("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), progress: Written, fault: Broken},
		{name: "short chunk", script: closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), progress: Written, fault: Broken},
		{name: "no last chunk", script: closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), progress: Written, fault: Broken},
		{name: "no end of trailer", script: closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"), progress: Written, fault: Broken},
		{name: "bad chunk size", script: answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"), progress: Written, fault: Malformed},
		{name: "end by close", script: closing("HTTP/1.1 200 OK\r\n\r\nall of it?"), progress: Written, fault: Malformed},
		{name: "two lengths", script: answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"), progress: Written, fault: Malformed},
		{name: "closed before answer", script: closing(""), progress: Written, fault: Broken},
		{name: "cut header", script: closing("HTTP/1.1 200 OK\r\nContent-"), progress: Written, fault: Broken},
		{name: "upgrade", script: answers("HTTP/1.1 101 Switching Protocols\r\n\r\n"), progress: Written, fault: Malformed},
		{name: "no http", script: answers("hello\r\n\r\n"), progress: Written, fault: Malformed},
		{name: "large", script: answers("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("a", 99)), progress: Written, fault: Oversized},
		{name: "large chunks", script: answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\nff\r\n"), progress: Written, fault: Oversized},
		{name: "late", script: answers(""), progress: Written, fault: TimedOut},
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

// denied is a Permission that is never given.
type denied struct{}

func (denied) MayWrite() bool { return false }

// TestDoUnwritten guards against a request that counts as written, or is
// written, although it was stopped before its first byte.
func TestDoUnwritten(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	gone := fleet.ListedServer{ID: "s2", Address: fleet.Address(closed.Addr().String())}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		change func(a *Attempt)
		fault  Fault
		code   exchange.Code
	}{
		{"refused", context.Background(), func(a *Attempt) { a.Server = gone }, Unreachable, exchange.NoCapacity},
		{"denied", context.Background(), func(a *Attempt) { a.Permission = denied{} }, Denied, exchange.NotReady},
		{"no permission", context.Background(), func(a *Attempt) { a.Permission = nil }, Denied, exchange.NotReady},
		{"late", context.Background(), func(a *Attempt) { a.Deadline = time.Now().Add(-time.Second) }, TimedOut, exchange.Expired},
		{"canceled", canceled, func(*Attempt) {}, Canceled, exchange.Canceled},
		{"second line in URI", context.Background(), func(a *Attempt) { a.Request.URI = "/ HTTP/1.1\r\nX: y" }, Malformed, exchange.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake, server := serve(t, answers(ok))
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
			require.Empty(t, fake.heads)
		})
	}
}

// TestDoReuse guards against an answer that reaches the wrong request, and
// against a connection that is reused after it was closed or spoke
// unasked.
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
		{"kept", []func(c *fakeConn){answers(ok, second)}, nil, []want{{"ok", false, Complete}, {"two", true, Complete}}},
		{"closed while idle", []func(c *fakeConn){closing(ok), answers(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"announced close", []func(c *fakeConn){answers("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), answers(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"extra bytes", []func(c *fakeConn){answers(ok + ok), answers(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"extra bytes later", []func(c *fakeConn){func(c *fakeConn) {
			answerAndSpeak(c)
		}, answers(second)}, nil, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"closed after the write", []func(c *fakeConn){func(c *fakeConn) {
			c.request()
			c.send(ok)
			c.request()
		}, answers(second)}, nil, []want{{"ok", false, Complete}, {"", true, Written}}},
		{"late answer", []func(c *fakeConn){func(c *fakeConn) {
			c.request()
			time.Sleep(400 * time.Millisecond)
			c.send(ok)
		}, answers(second)}, nil, []want{{"", false, Written}, {"two", false, Complete}}},
		{"lease ended", []func(c *fakeConn){answers(ok), answers(second)}, (*Client).CloseIdleConnections, []want{{"ok", false, Complete}, {"two", false, Complete}}},
		{"forgotten", []func(c *fakeConn){answers(ok), answers(second)}, func(c *Client) { c.CloseConnections("s1") }, []want{{"ok", false, Complete}, {"two", false, Complete}}},
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
				// The end of a connection and unasked bytes arrive soon
				// after the answer, not with it.
				time.Sleep(20 * time.Millisecond)
				if tt.between != nil {
					tt.between(client)
				}
			}
		})
	}
}

// answerAndSpeak answers one request and later sends a second answer unasked.
func answerAndSpeak(c *fakeConn) {
	c.request()
	c.send(ok)
	time.Sleep(5 * time.Millisecond)
	c.send(ok)
	c.untilClosed()
}

// TestDoCancel guards against a server that keeps working for a caller that
// is gone, and against two attempts on one connection.
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
				c.request()
				close(arrived)
				c.untilClosed()
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
			<-fake.ended
			require.Equal(t, Written, evidence.Progress)
			var failure *Error
			require.True(t, errors.As(evidence.Err, &failure))
		})
	}
}

// TestDoHeaders guards against headers of one hop or of our own protocol
// that pass through.
func TestDoHeaders(t *testing.T) {
	fake, server := serve(t, answers("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUpstream-Load: 3\r\nUpstream-Draining: 1\r\n"+
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
	lines := strings.Split(strings.TrimSpace(fake.heads[0]), "\r\n")
	require.Equal(t, "POST /x?y=1 HTTP/1.1", lines[0])
	require.Contains(t, lines, "Upstream-Key: k1")
	require.Contains(t, lines, "Cookie: a=1;b=2")
	require.Contains(t, lines, "Content-Length: 0")
	require.Contains(t, lines, "Host: 192.0.2.1:80")
	require.Len(t, lines, 7)
}

// TestProbe guards against a probe that takes a failing server for a healthy
// one.
func TestProbe(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		fault  Fault
		err    bool
	}{
		{name: "healthy", answer: ok},
		{name: "failing", answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", fault: Unhealthy, err: true},
		{name: "silent", answer: "", fault: TimedOut, err: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, server := serve(t, answers(tt.answer))
			client := newClient(t, Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			took, err := client.Probe(ctx, server)
			require.Equal(t, tt.err, err != nil, "%v", err)
			if tt.err {
				require.True(t, IsFault(err, tt.fault), "%v", err)
				return
			}
			require.Positive(t, took)
		})
	}
}

package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/io/memory"
	"galenaridge/io/upstream"
	"galenaridge/platform"
)

// earlyServer accepts connections and responds as soon as it has read the header of a
// request, and a part of its body. It reads on afterwards, or closes the connection.
type earlyServer struct {
	response string
	reads    int
	closes   bool
}

func (s earlyServer) start(t *testing.T) registry.Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return registry.Server{
		Incarnation: registry.Incarnation{ID: "early", StartedAt: 1}, Service: "s", Domain: "a",
		Address: fleet.Address(listener.Addr().String()), Slots: 4,
	}
}

func (s earlyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, request.Body, int64(s.reads)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(s.response, "ID", request.Header.Get("Galenaridge-Request-Id"))); err != nil || s.closes {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// TestPoolEarlyResponses guards against an early response to a large body that is lost, and
// against the rest of that body in the place of the next request.
func TestPoolEarlyResponses(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: ID\r\nGalenaridge-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	const shed = "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Request-Id: ID\r\nGalenaridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	// Without the announcement the next request could meet the end of the connection, and
	// nobody could say whether it ran.
	shedAndClose := strings.Replace(shed, "Content-Length", "Connection: close\r\nContent-Length", 1)
	tests := []struct {
		name     string
		server   earlyServer
		status   int
		declined bool
	}{
		{"whole, after the header", earlyServer{response: whole}, 200, false},
		{"whole, in the middle of the body", earlyServer{response: whole, reads: 200_000}, 200, false},
		{"shed after the header", earlyServer{response: shed}, 503, true},
		{"shed in the middle of the body", earlyServer{response: shed, reads: 200_000}, 503, true},
		{"shed at the end of the body", earlyServer{response: shedAndClose, reads: 360_000, closes: true}, 503, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, entry := newPool(t), test.server.start(t)
			for i := range 4 {
				attempt := newAttempt(entry, fmt.Sprintf("r%d", i), strings.Repeat("x", 360_000))
				attempt.Deadline = time.Now().Add(2 * time.Second)
				response, evidence := p.Send(context.Background(), attempt)
				require.Equal(t, test.status, response.Status, "%v", evidence.Err)
				require.Equal(t, test.declined, evidence.Declined)
				if test.declined {
					require.Equal(t, exchange.Overloaded, response.Code)
				} else {
					require.Equal(t, "ok", string(response.Body))
				}
			}
		})
	}
}

// TestPoolServerStopsReading guards against a server that reads a part of a body and then
// nothing more, and holds memory or the caller beyond the deadline or the caller's end.
func TestPoolServerStopsReading(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		canceled time.Duration
		code     exchange.Code
	}{
		{"until the deadline", 300 * time.Millisecond, time.Minute, exchange.UpstreamTimeout},
		{"until the caller leaves", time.Minute, 100 * time.Millisecond, exchange.UpstreamLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stopped := make(chan struct{})
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			var serving sync.WaitGroup
			serving.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.CopyN(io.Discard, conn, 10_000)
				<-stopped
			})
			t.Cleanup(func() {
				close(stopped)
				_ = listener.Close()
				serving.Wait()
			})
			budget := memory.NewBudget(memory.Options{LimitBytes: 1 << 20})
			p := upstream.NewPool(upstream.PoolOptions{Clock: clockwork.NewRealClock(), HeaderCodec: platform.ServerHeaderCodec{}, Domain: "a", Memory: budget})
			t.Cleanup(p.Close)
			entry := registry.Server{
				Incarnation: registry.Incarnation{ID: "stops", StartedAt: 1}, Service: "s", Domain: "a",
				Address: fleet.Address(listener.Addr().String()), Slots: 4,
			}
			attempt := newAttempt(entry, "r1", strings.Repeat("x", 32<<20))
			started := time.Now()
			attempt.Deadline = started.Add(test.deadline)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			defer time.AfterFunc(test.canceled, cancel).Stop()
			response, evidence := p.Send(ctx, attempt)
			require.Less(t, time.Since(started), 3*time.Second)
			require.True(t, evidence.Written)
			require.False(t, evidence.Complete)
			require.Equal(t, fleet.Unknown, response.Outcome)
			require.Equal(t, test.code, response.Code)
			// Another goroutine may be closing the connection.
			require.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// TestPoolResetDuringUpload guards against a part of a response that is taken as whole: its
// body ends with the connection, and the write of a large request got the error of the reset
// that the read should have got.
func TestPoolResetDuringUpload(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nGalenaridge-Request-Id: ID\r\nGalenaridge-Server-Signature: s\r\n\r\npart"
	tests := []struct {
		name string
		// end ends the connection after the response was sent.
		end    func(t *testing.T, conn *net.TCPConn, body io.Reader)
		status int
		// tries is higher where it is a race which side gets an error.
		tries int
	}{
		{"reset", func(t *testing.T, conn *net.TCPConn, _ io.Reader) {
			require.NoError(t, conn.SetLinger(0))
		}, 504, 40},
		{"closed with unread bytes", func(*testing.T, *net.TCPConn, io.Reader) {}, 504, 40},
		{"closed in order, and the rest read", func(t *testing.T, conn *net.TCPConn, body io.Reader) {
			require.NoError(t, conn.CloseWrite())
			_, _ = io.Copy(io.Discard, body)
		}, 200, 5},
		{"closed in order, and the rest not read", func(t *testing.T, conn *net.TCPConn, _ io.Reader) {
			require.NoError(t, conn.CloseWrite())
			time.Sleep(200 * time.Millisecond)
		}, 200, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			for i := range test.tries {
				var serving sync.WaitGroup
				serving.Go(func() {
					accepted, err := listener.Accept()
					if err != nil {
						return
					}
					conn := accepted.(*net.TCPConn)
					defer func() { _ = conn.Close() }()
					request, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, strings.ReplaceAll(part, "ID", request.Header.Get("Galenaridge-Request-Id")))
					// The upload fills the buffers of both sides meanwhile.
					time.Sleep(5 * time.Millisecond)
					test.end(t, conn, request.Body)
				})
				entry := registry.Server{Incarnation: registry.Incarnation{ID: "i-1", StartedAt: 1}, Service: "s", Domain: "a", Address: fleet.Address(listener.Addr().String()), Slots: 4}
				attempt := newAttempt(entry, fmt.Sprintf("r%d", i), strings.Repeat("x", 16<<20))
				attempt.Deadline = time.Now().Add(5 * time.Second)
				startedAt := time.Now()
				response, evidence := newPool(t).Send(context.Background(), attempt)
				require.Equal(t, test.status, response.Status, "try %d: %v", i, evidence.Err)
				require.Equal(t, test.status == 200, evidence.Complete)
				require.Less(t, time.Since(startedAt), time.Second, "the response does not wait for the upload")
				if test.status == 200 {
					require.Equal(t, "part", string(response.Body))
				} else {
					require.True(t, evidence.Written)
					require.Empty(t, response.Body)
				}
				serving.Wait()
			}
		})
	}
}

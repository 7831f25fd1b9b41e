package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// scriptedConn is a connection whose peer sends fixed bytes and then closes it.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

func (c *scriptedConn) Close() error { return nil }

// FuzzResponse guards against responses that crash the client, exceed the limit, or
// count as complete although they are truncated.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		okResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(seed))
	}
	options := Options{Clock: clockwork.NewRealClock(), MaxBodyBytes: 64}.withDefaults()
	attempt := Attempt{Request: exchange.Request{Method: "POST", URI: "/"}, Permission: AlwaysAllowed{}, Deadline: time.Now().Add(time.Hour)}
	do := func(text []byte) (exchange.Response, bool) {
		conn := newConn(&scriptedConn{Reader: bytes.NewReader(text)}, options.MaxHeaderBytes)
		evidence := Evidence{}
		response, err := conn.roundTrip(context.Background(), attempt, options, &evidence)
		return response, err == nil
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		response, whole := do(text)
		if !whole {
			return
		}
		require.LessOrEqual(t, len(response.Body), 64)
		require.Equal(t, fleet.Done, response.Outcome)
		require.True(t, response.Status >= 200 && response.Status <= 599)
		for end := range text {
			shorter, whole := do(text[:end])
			if whole {
				// Only bytes after the response may be cut off.
				require.Equal(t, response, shorter)
				return
			}
		}
	})
}

// BenchmarkDo measures one request on a persistent connection.
func BenchmarkDo(b *testing.B) {
	_, server := serve(b, func(c *fakeConn) {
		_ = c.SetDeadline(time.Time{})
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			c.writeString(okResponse)
		}
	})
	client := newClient(b, Options{})
	attempt := attemptTo(server, time.Hour)
	attempt.Request.Headers = []exchange.Header{{Name: "Accept", Value: "*/*"}, {Name: "User-Agent", Value: "bench"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, evidence := client.Do(context.Background(), attempt); evidence.Err != nil {
			b.Fatal(evidence.Err)
		}
	}
}

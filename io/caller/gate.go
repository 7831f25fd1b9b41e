package caller

import (
	"net"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// busyBody is the refusal of a connection above the limit. The request is not
// read, and another copy of it may have run.
const busyBody = `{"code":"overloaded","outcome":"unknown","retry":false,"after_ms":1000,"message":"too many connections"}`

// busy is the whole answer to a connection above the limit.
var busy = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\n" +
	"Galenaridge-Outcome: unknown\r\nRetry-After: 1\r\nContent-Length: " + strconv.Itoa(len(busyBody)) + "\r\n\r\n" + busyBody)

// gate is a listener that bounds the open connections.
type gate struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func newGate(listener net.Listener, limit int) *gate {
	return &gate{Listener: listener, limit: int64(limit)}
}

// Accept returns the next connection within the limit and turns others away.
func (g *gate) Accept() (net.Conn, error) {
	for {
		socket, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g.open.Add(1) <= g.limit {
			return &gatedConn{Conn: socket, gate: g}, nil
		}
		g.open.Add(-1)
		// The few bytes fit the empty send buffer, so this does not block.
		_, _ = socket.Write(busy)
		_ = socket.Close()
	}
}

// gatedConn is a connection that counts for the limit of its gate.
type gatedConn struct {
	net.Conn
	gate   *gate
	closed atomic.Bool
	// raw is the access to the socket, once it was asked for. Only the
	// goroutine that serves the connection uses it.
	raw syscall.RawConn
	// spoke reports whether the caller has sent anything. Only the goroutine
	// that serves the connection uses it.
	spoke bool
}

// Read reads from the connection.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.spoke = true
	}
	return n, err
}

// Close closes the connection and lets another one in.
func (c *gatedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.gate.open.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn gives access to the socket, for watch.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no socket")
	}
	raw, err := socket.SyscallConn()
	c.raw = raw
	return raw, err
}

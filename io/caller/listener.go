package caller

import (
	"net"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// tooManyConnsBody is the refusal of a connection above the limit. Its outcome is
// "unknown", because the request is not read and a duplicate of it may have run.
const tooManyConnsBody = `{"code":"overloaded","outcome":"unknown","retry":false,"after_ms":1000,"message":"too many connections"}`

// tooManyConnsResponse is the whole response to a connection above the limit.
var tooManyConnsResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\n" +
	"Galenaridge-Outcome: unknown\r\nRetry-After: 1\r\nContent-Length: " + strconv.Itoa(len(tooManyConnsBody)) + "\r\n\r\n" + tooManyConnsBody)

// limitedListener is a listener that bounds the number of open connections.
type limitedListener struct {
	net.Listener
	maxConns  int64
	openConns atomic.Int64
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, maxConns: int64(limit)}
}

// Accept returns the next connection within the limit. Connections above the limit
// receive an overload response and are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxConns {
			return &countedConn{Conn: socket, listener: l}, nil
		}
		l.openConns.Add(-1)
		// Does not block, since the response fits into the empty send buffer.
		_, _ = socket.Write(tooManyConnsResponse)
		_ = socket.Close()
	}
}

// countedConn is a connection that counts towards the limit of its listener.
type countedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
	// rawConn caches the result of SyscallConn. Only the goroutine that serves the
	// connection uses it.
	rawConn syscall.RawConn
	// dataReceived reports whether the caller has sent any byte. Only the goroutine
	// that serves the connection uses it.
	dataReceived bool
}

// Read reads from the connection and records whether data arrived.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.dataReceived = true
	}
	return n, err
}

// Close closes the connection and removes it from the count of open connections.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn returns the raw connection, which cancelOnDisconnect reads.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if c.rawConn != nil {
		return c.rawConn, nil
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection has no socket")
	}
	raw, err := socket.SyscallConn()
	c.rawConn = raw
	return raw, err
}

package caller

import (
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

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
	maxConns int64
	// readTimeout and idleTimeout are those of Options.
	readTimeout time.Duration
	idleTimeout time.Duration
	openConns   atomic.Int64
}

func newLimitedListener(listener net.Listener, options Options) *limitedListener {
	return &limitedListener{
		Listener:    listener,
		maxConns:    int64(options.MaxConns),
		readTimeout: options.ReadTimeout,
		idleTimeout: options.IdleTimeout,
	}
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
	if !c.dataReceived {
		return c.readFirst(p)
	}
	return c.Conn.Read(p)
}

// readFirst waits for the first bytes of the first request. fasthttp counts the wait as part
// of the time to read that request; it is bounded as the wait for any other request instead.
func (c *countedConn) readFirst(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.listener.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	c.dataReceived = true
	if err := c.SetReadDeadline(time.Now().Add(c.listener.readTimeout)); err != nil {
		return n, err
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

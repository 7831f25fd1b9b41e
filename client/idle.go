package client

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// errIdleClosed means that the peer closed the connection before any byte of the
// request was written to it.
var errIdleClosed = eris.New("the idle connection was closed")

// idleConn checks before the first write of a request whether the peer has closed
// the connection in the meantime. Without this check every request on a pooled
// connection to an instance that has exited would have an unknown outcome.
type idleConn struct {
	net.Conn
	// inExchange is set from the first write of a request until the first read of
	// its response.
	inExchange atomic.Bool
}

// Write implements net.Conn. It returns errIdleClosed if the connection was closed
// before any byte of the request was sent.
func (c *idleConn) Write(data []byte) (int, error) {
	if !c.inExchange.Swap(true) && c.closedByPeer() {
		return 0, errIdleClosed
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *idleConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.inExchange.Store(false)
	}
	return n, err
}

// closedByPeer reports whether the peer has closed the connection or has sent
// unsolicited data.
func (c *idleConn) closedByPeer() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	// The read deadline of the previous request is still set. RawConn.Read would
	// fail after it; RawConn.Control does not.
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
	})
	return err != nil || !open
}

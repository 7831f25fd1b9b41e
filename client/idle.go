package client

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// errIdleClosed means that the other side closed a connection before anything
// of this request was written to it.
var errIdleClosed = eris.New("the idle connection was closed")

// idleConn looks before the first write of a request if the other side has
// closed the connection meanwhile. Without this every request that meets a
// connection to an instance that has exited would have an unknown outcome.
type idleConn struct {
	net.Conn
	// busy is set from the first write of a request until its answer begins.
	busy atomic.Bool
}

// Write sends data; it fails with errIdleClosed if nothing of the request was
// sent and nothing can be.
func (c *idleConn) Write(data []byte) (int, error) {
	if !c.busy.Swap(true) && c.closed() {
		return 0, errIdleClosed
	}
	return c.Conn.Write(data)
}

// Read receives data.
func (c *idleConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.busy.Store(false)
	}
	return n, err
}

// closed reports whether the other side has closed the connection, or has sent
// data that no request asked for.
func (c *idleConn) closed() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	// Control and not Read, since Read fails after the read deadline of the
	// request before, which is still set.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = failure == syscall.EAGAIN
	})
	return err != nil || !open
}

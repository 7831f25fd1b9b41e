package caller

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// expiredDeadline is a read deadline in the past, which ends a blocked read at once.
var expiredDeadline = time.Unix(1, 0)

// cancelOnDisconnect calls cancel when the caller closes the connection, until stop
// is called. Nothing else may read from the connection until then. No byte of the
// connection is consumed.
func cancelOnDisconnect(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The read deadline of the request must not end the wait.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return func() {}
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if waitForEnd(raw) {
			cancel()
		}
	})
	return func() {
		_ = conn.SetReadDeadline(expiredDeadline)
		wg.Wait()
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// waitForEnd blocks until the connection is readable or its read deadline passes,
// and reports whether the stream has ended.
func waitForEnd(raw syscall.RawConn) bool {
	streamEnded := false
	err := raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			// Returning false parks the goroutine in the network poller until the
			// connection is readable.
			return false
		}
		streamEnded = err != nil || n == 0
		return true
	})
	return err == nil && streamEnded
}

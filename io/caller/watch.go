package caller

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// past is a read deadline that has always expired.
var past = time.Unix(1, 0)

// watch calls cancel when the peer closes the connection, until the returned
// function is called. Nobody may read from the connection in between. It
// takes no byte from the connection.
func watch(conn net.Conn, cancel context.CancelFunc) (stop func()) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return func() {}
	}
	// The deadline for reading the request must not end the watch.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return func() {}
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		if ended(raw) {
			cancel()
		}
	})
	return func() {
		_ = conn.SetReadDeadline(past)
		wg.Wait()
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// ended waits until the connection is readable or its read deadline passes,
// and reports whether the stream has ended.
func ended(raw syscall.RawConn) bool {
	gone := false
	err := raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			// False waits in the poller for the connection to be readable.
			return false
		}
		gone = err != nil || n == 0
		return true
	})
	return err == nil && gone
}

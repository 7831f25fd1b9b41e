package throttle

import (
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// chunkBytes is the largest part of a write that occupies the link at a time, so that
// connections share the link fairly.
const chunkBytes = 1460

// Mbps is a bandwidth in megabits per second.
type Mbps float64

// Listener is a listener whose connections share one sending bandwidth.
type Listener struct {
	net.Listener
	link *link
}

// New returns a listener that limits what the connections of another one send.
func New(listener net.Listener, bandwidth Mbps, clock clockwork.Clock) *Listener {
	return &Listener{Listener: listener, link: &link{bandwidth: bandwidth, clock: clock}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket, link: l.link}, nil
}

// link is the sending side of a network link.
type link struct {
	bandwidth Mbps
	clock     clockwork.Clock

	mu     sync.Mutex
	freeAt time.Time
}

// send waits until the link has sent a number of bytes.
func (l *link) send(bytes int) {
	duration := time.Duration(float64(bytes) * 8 / float64(l.bandwidth) * float64(time.Microsecond))
	l.mu.Lock()
	now := l.clock.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(duration)
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	l.clock.Sleep(wait)
}

type conn struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(written+chunkBytes, len(b))]
		c.link.send(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

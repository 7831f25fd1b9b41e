package client

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestIdleConn guards against a check that takes an open connection for a
// closed one, or that reports a request as unsent after part of it was written.
func TestIdleConn(t *testing.T) {
	tests := []struct {
		name       string
		prepare    func(t *testing.T, c *idleConn, peer net.Conn)
		wantClosed bool
	}{
		{"open", func(*testing.T, *idleConn, net.Conn) {}, false},
		{"closed", func(t *testing.T, _ *idleConn, peer net.Conn) { require.NoError(t, peer.Close()) }, true},
		{"reset", func(t *testing.T, _ *idleConn, peer net.Conn) {
			require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
			require.NoError(t, peer.Close())
		}, true},
		{"old read deadline", func(t *testing.T, c *idleConn, _ net.Conn) {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
		}, false},
		{"closed after part of the request", func(t *testing.T, c *idleConn, peer net.Conn) {
			_, err := c.Write([]byte("a"))
			require.NoError(t, err)
			_, err = io.ReadFull(peer, make([]byte, 1))
			require.NoError(t, err)
			require.NoError(t, peer.Close())
		}, false},
		{"closed after the response", func(t *testing.T, c *idleConn, peer net.Conn) {
			_, err := c.Write([]byte("a"))
			require.NoError(t, err)
			_, err = io.ReadFull(peer, make([]byte, 1))
			require.NoError(t, err)
			_, err = peer.Write([]byte("b"))
			require.NoError(t, err)
			_, err = c.Read(make([]byte, 1))
			require.NoError(t, err)
			require.NoError(t, peer.Close())
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			peer, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = peer.Close() }()
			c := &idleConn{Conn: conn}
			test.prepare(t, c, peer)
			// A close arrives with a delay, even on loopback.
			assert.Equal(t, test.wantClosed, eventuallyClosed(c), "closed")
			_, err = c.Write([]byte("x"))
			assert.Equal(t, test.wantClosed, errors.Is(err, errIdleClosed))
		})
	}
}

// eventuallyClosed reports whether the next write would fail with errIdleClosed.
// It waits up to 50 ms for the close to arrive.
func eventuallyClosed(c *idleConn) bool {
	if c.inExchange.Load() {
		return false
	}
	for range 50 {
		if c.closedByPeer() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

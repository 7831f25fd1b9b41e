package upstream

import (
	"sync"

	"galenaridge/core/fleet"
)

// line is the place of the one connection of a slot of a server.
type line struct {
	mu      sync.Mutex
	busy    bool
	gone    bool
	address fleet.Address
	conn    *conn
}

// acquire takes the line for an attempt; it fails if another one has it or
// the server is no longer owned.
func (l *line) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy || l.gone {
		return false
	}
	l.busy = true
	return true
}

// release gives the line back after an attempt.
func (l *line) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if l.conn != nil && l.conn.closed() {
		l.conn = nil
	}
}

// reuse returns the connection of an acquired line, or nil if there is none
// that leads to the address and is quiet.
func (l *line) reuse(address fleet.Address) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	if l.address == address && !l.gone && l.conn.quiet() {
		return l.conn
	}
	l.conn.close()
	l.conn = nil
	return nil
}

// attach puts a new connection into an acquired line; it fails if the server
// is no longer owned.
func (l *line) attach(conn *conn, address fleet.Address) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return false
	}
	l.conn = conn
	l.address = address
	return true
}

// endIdle closes the connection if it carries no request.
func (l *line) endIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy || l.conn == nil {
		return
	}
	l.conn.close()
	l.conn = nil
}

// abandon closes the connection and lets no attempt use the line again.
func (l *line) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = true
	if l.conn != nil {
		l.conn.close()
	}
}

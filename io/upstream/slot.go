package upstream

import (
	"sync"

	"galenaridge/core/fleet"
)

// slotConn holds the connection of one slot of a server. Only one attempt uses it at
// a time.
type slotConn struct {
	mu      sync.Mutex
	inUse   bool
	retired bool
	address fleet.Address
	conn    *conn
}

// acquire reserves the slot for an attempt. It returns false if another attempt uses
// the slot or the server is no longer owned.
func (s *slotConn) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse || s.retired {
		return false
	}
	s.inUse = true
	return true
}

// release frees the slot after an attempt.
func (s *slotConn) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse = false
	if s.conn != nil && s.conn.closed() {
		s.conn = nil
	}
}

// reuse returns the connection of an acquired slot, or nil if there is no reusable
// connection to the address.
func (s *slotConn) reuse(address fleet.Address) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil
	}
	if s.address == address && !s.retired && s.conn.isReusable() {
		return s.conn
	}
	s.conn.close()
	s.conn = nil
	return nil
}

// attach stores a new connection in an acquired slot. It returns false if the server
// is no longer owned.
func (s *slotConn) attach(conn *conn, address fleet.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.conn = conn
	s.address = address
	return true
}

// closeIfIdle closes the connection if it has no request in flight.
func (s *slotConn) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse || s.conn == nil {
		return
	}
	s.conn.close()
	s.conn = nil
}

// retire closes the connection and prevents further attempts from using the slot.
func (s *slotConn) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	if s.conn != nil {
		s.conn.close()
	}
}

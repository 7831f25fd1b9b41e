package registry

import (
	"time"

	"galenaridge/core/fleet"
)

// State holds the listed servers. One goroutine owns it.
type State struct {
	servers map[fleet.ServerID]Server
	// missing holds the servers that a complete listing lacked, and until when
	// they are kept.
	missing map[fleet.ServerID]time.Time
	changed bool
	view    *View
}

// NewState returns a state without servers.
func NewState() *State {
	return &State{
		servers: make(map[fleet.ServerID]Server),
		missing: make(map[fleet.ServerID]time.Time),
		view:    &View{},
	}
}

// Put adds or changes a server.
func (s *State) Put(server Server) {
	delete(s.missing, server.ID)
	if old, known := s.servers[server.ID]; known && same(old, server) {
		return
	}
	s.servers[server.ID] = server
	s.changed = true
}

// same reports whether two entries mean the same for traffic. The time at which
// a server is warm is computed from a rest and moves a little at each report.
func same(a, b Server) bool {
	shift := a.WarmAt.Sub(b.WarmAt).Abs()
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	return a == b && shift < time.Second
}

// Remove takes a server away, for one that has left or cannot be read.
func (s *State) Remove(id fleet.ServerID) {
	delete(s.missing, id)
	if _, known := s.servers[id]; known {
		delete(s.servers, id)
		s.changed = true
	}
}

// Replace takes a complete listing. Servers that it lacks are kept until the
// given time, and are removed at once if that is zero.
func (s *State) Replace(listed []Server, keepUntil time.Time) {
	present := make(map[fleet.ServerID]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
		s.Put(server)
	}
	for id := range s.servers {
		if present[id] {
			continue
		}
		if keepUntil.IsZero() {
			s.Remove(id)
			continue
		}
		if _, waiting := s.missing[id]; !waiting {
			s.missing[id] = keepUntil
		}
	}
}

// Expire removes the missing servers whose time has passed and returns them.
func (s *State) Expire(now time.Time) []fleet.ServerID {
	var gone []fleet.ServerID
	for id, until := range s.missing {
		if !now.Before(until) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		s.Remove(id)
	}
	return gone
}

// Publish makes the changes since the last call visible in a new view and
// reports whether there were any.
func (s *State) Publish() bool {
	if !s.changed {
		return false
	}
	s.changed = false
	s.view = newView(s.servers)
	return true
}

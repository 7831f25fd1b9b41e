package registry

import (
	"time"

	"galenaridge/core/fleet"
)

// State holds the listed servers. It belongs to one goroutine.
type State struct {
	servers map[fleet.ServerID]Server
	// missingUntil holds the servers that were absent from a complete listing, with
	// the time at which they are removed.
	missingUntil map[fleet.ServerID]time.Time
	changed      bool
	view         *View
}

// NewState returns a state without servers and an empty view.
func NewState() *State {
	return &State{
		servers:      make(map[fleet.ServerID]Server),
		missingUntil: make(map[fleet.ServerID]time.Time),
		view:         &View{},
	}
}

// Put adds or updates a server.
func (s *State) Put(server Server) {
	delete(s.missingUntil, server.ID)
	if old, known := s.servers[server.ID]; known && equivalent(old, server) {
		return
	}
	s.servers[server.ID] = server
	s.changed = true
}

// equivalent reports whether two entries are the same for routing. WarmAt is derived
// from a remaining time and shifts slightly with each report, so differences below a
// second are ignored.
func equivalent(a, b Server) bool {
	shift := a.WarmAt.Sub(b.WarmAt).Abs()
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	return a == b && shift < time.Second
}

// Remove removes a server that has left or whose entry cannot be read. An unknown id
// is ignored.
func (s *State) Remove(id fleet.ServerID) {
	delete(s.missingUntil, id)
	if _, known := s.servers[id]; known {
		delete(s.servers, id)
		s.changed = true
	}
}

// Replace applies a complete listing. Listed servers that it does not contain are
// removed at keepUntil, or immediately if that is zero.
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
		if _, missing := s.missingUntil[id]; !missing {
			s.missingUntil[id] = keepUntil
		}
	}
}

// Expire removes the missing servers that are due and returns their ids.
func (s *State) Expire(now time.Time) []fleet.ServerID {
	var expired []fleet.ServerID
	for id, until := range s.missingUntil {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.Remove(id)
	}
	return expired
}

// Publish puts the changes since the last call into a new view, and reports whether
// there were any.
func (s *State) Publish() bool {
	if !s.changed {
		return false
	}
	s.changed = false
	s.view = newView(s.servers)
	return true
}

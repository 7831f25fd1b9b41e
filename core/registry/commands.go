package registry

import (
	"math"
	"time"

	"galenaridge/core/fleet"
)

// removalTTL is how long the removal of a server is remembered. A store that is restored
// returns to a snapshot that is some seconds old, so an older removal is in the snapshot.
const removalTTL = 10 * time.Minute

// State holds the listed servers. It belongs to one goroutine.
type State struct {
	servers map[fleet.ServerID]Server
	// missingUntil holds the servers that were absent from a complete listing, with
	// the time at which they are removed.
	missingUntil map[fleet.ServerID]time.Time
	// held holds the servers that the store lists as live by an entry from before their end.
	// They are leaving in servers.
	held map[fleet.ServerID]bool
	// removals holds the latest removal of each server that is not listed.
	removals map[fleet.ServerID]removal
	// eraStart is the position of the first complete listing of the latest era. Entries
	// written after it were written in this era.
	eraStart fleet.Position
	changed  bool
	view     *View
}

// removal is the removal of a server, at a position or before it.
type removal struct {
	startedAt StartTime
	position  fleet.Position
	// expiresAt is zero until the first call of Expire.
	expiresAt time.Time
}

// anyStart is the start time in the removal of a server of which no entry was known. It
// covers all incarnations.
const anyStart StartTime = math.MaxInt64

// NewState returns a state without servers and an empty view.
func NewState() *State {
	return &State{
		servers:      make(map[fleet.ServerID]Server),
		missingUntil: make(map[fleet.ServerID]time.Time),
		held:         make(map[fleet.ServerID]bool),
		removals:     make(map[fleet.ServerID]removal),
		view:         &View{},
	}
}

// Put adds or updates a server, unless a newer entry or a newer removal of it was applied.
// After a restore of the store, a server that left or was removed before is listed as
// leaving until its entry is written again, and an entry of an earlier incarnation is
// ignored. Put reports whether the server is listed by this entry or by a newer one.
func (s *State) Put(server Server) bool {
	old, known := s.servers[server.ID]
	removed, wasRemoved := s.removals[server.ID]
	hold := false
	switch {
	case known && server.Written.Before(old.Written):
		if server.Written.Era == old.Written.Era {
			s.setListed(server.ID)
		}
		return true
	case known && server.Written.Era > old.Written.Era && !s.writtenSince(server, old.Written):
		if server.StartedAt < old.StartedAt {
			return false
		}
		hold = server.StartedAt == old.StartedAt && old.Presence == fleet.Leaving
	case known && server.Written == old.Written:
		hold = s.held[server.ID]
	case wasRemoved && !server.Written.After(removed.position):
		return false
	case wasRemoved && server.Written.Era > removed.position.Era && !s.writtenSince(server, removed.position) && server.StartedAt <= removed.startedAt:
		hold = true
	}
	s.setListed(server.ID)
	s.setHeld(server.ID, hold && server.Presence == fleet.Live)
	if hold {
		server.Presence = fleet.Leaving
	}
	delete(s.removals, server.ID)
	s.servers[server.ID] = server
	s.changed = s.changed || !known || !equivalent(old, server)
	return true
}

// setListed records that a server is not missing.
func (s *State) setListed(id fleet.ServerID) {
	if _, missing := s.missingUntil[id]; missing {
		delete(s.missingUntil, id)
		s.changed = true
	}
}

// setHeld records whether a server that the store lists as live is held as leaving.
func (s *State) setHeld(id fleet.ServerID, held bool) {
	if s.held[id] == held {
		return
	}
	s.changed = true
	if held {
		s.held[id] = true
	} else {
		delete(s.held, id)
	}
}

// writtenSince reports whether an entry of a later era was written after a position of an
// earlier one. Revisions up to that of the snapshot are the same in both eras, so an entry
// with a higher revision than the position was written after it. An entry that is newer
// than the first listing of its era was written in that era. Other entries may come from
// the snapshot.
func (s *State) writtenSince(server Server, position fleet.Position) bool {
	return server.Written.Revision > position.Revision || server.Written.After(s.eraStart)
}

// equivalent reports whether two entries are the same for routing and belong to the same
// era. WarmAt is derived from a remaining time and shifts slightly with each report, so
// differences below a second are ignored.
func equivalent(a, b Server) bool {
	shift := a.WarmAt.Sub(b.WarmAt).Abs()
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	a.Written.Revision, b.Written.Revision = 0, 0
	return a == b && shift < time.Second
}

// Remove removes a server that has left or whose entry cannot be read, unless its entry was
// written after the position. It reports whether the server is not listed now.
func (s *State) Remove(id fleet.ServerID, position fleet.Position) bool {
	server, known := s.servers[id]
	if known && server.Written.After(position) {
		return false
	}
	removed := removal{startedAt: anyStart, position: position}
	if known {
		removed.startedAt = server.StartedAt
	}
	if last, wasRemoved := s.removals[id]; !wasRemoved || last.position.Before(position) {
		s.removals[id] = removed
	}
	delete(s.missingUntil, id)
	delete(s.held, id)
	if known {
		delete(s.servers, id)
		s.changed = true
	}
	return true
}

// Replace applies a complete listing that was read at a position. Listed servers that it
// does not contain are removed at keepUntil, or immediately if that is zero. A server that
// is missing since an earlier listing of the same era keeps its time.
func (s *State) Replace(listed []Server, position fleet.Position, keepUntil time.Time) {
	if position.Era > s.eraStart.Era || s.eraStart.IsZero() {
		s.eraStart = position
	}
	present := make(map[fleet.ServerID]bool, len(listed))
	for _, server := range listed {
		if s.Put(server) {
			present[server.ID] = true
		}
	}
	for id, server := range s.servers {
		_, missing := s.missingUntil[id]
		switch {
		case present[id] || server.Written.After(position):
		case missing && (!keepUntil.IsZero() || server.Written.Era < position.Era):
		case keepUntil.IsZero():
			s.Remove(id, position)
		default:
			s.missingUntil[id] = keepUntil
			s.changed = true
		}
	}
}

// KeepMissing keeps the servers that are missing now until a time at least.
func (s *State) KeepMissing(until time.Time) {
	for id, end := range s.missingUntil {
		if end.Before(until) {
			s.missingUntil[id] = until
		}
	}
}

// Expire removes the missing servers that are due, as of the position of the copy, and
// returns their ids. It forgets old removals.
func (s *State) Expire(now time.Time, position fleet.Position) []fleet.ServerID {
	var expired []fleet.ServerID
	for id, until := range s.missingUntil {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.Remove(id, position)
	}
	for id, r := range s.removals {
		switch {
		case r.expiresAt.IsZero():
			r.expiresAt = now.Add(removalTTL)
			s.removals[id] = r
		case !now.Before(r.expiresAt):
			delete(s.removals, id)
		}
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
	s.view = newView(s)
	return true
}

package platform

import "time"

// sight is what a reader sees of one value at one time.
type sight struct {
	entry entry
	found bool
	mode  Mode
	// changed is closed at the next command; next is when the value changes
	// without one because the lag of a change ends, or zero.
	changed <-chan struct{}
	next    time.Time
}

// see returns what a reader of a value sees now.
func (s *store) see(now time.Time, v ValueKind) sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := sight{mode: s.fault.Mode, changed: s.changed}
	h := s.values[v]
	if v == Config && s.fault.ConfigRevision != 0 {
		seen.entry, seen.found = h.numbered(s.fault.ConfigRevision)
		return seen
	}
	if s.fault.Mode == Stale {
		now = s.since
	}
	if v == Config {
		seen.entry, seen.found = h.at(now)
		return seen
	}
	lag := s.fault.ListLag.Std()
	seen.entry, seen.found = h.at(now.Add(-lag))
	if !seen.found && len(h) > 0 {
		// With a long lag even the first list is not yet visible to readers;
		// the oldest one held is the nearest to what they would see.
		seen.entry, seen.found = h[0], true
	}
	if at, ok := h.next(now.Add(-lag)); ok && s.fault.Mode != Stale {
		seen.next = at.Add(lag)
	}
	return seen
}

package platform

import "time"

// readView is the result of reading one value at one time under the current fault.
type readView struct {
	publication publication
	found       bool
	mode        Mode
	// changed is closed by the next command. nextChange is the time at which a
	// delayed change becomes visible without a command, or zero if there is none.
	changed    <-chan struct{}
	nextChange time.Time
}

// currentView returns the state of a value that the current fault shows to readers.
func (s *store) currentView(now time.Time, kind ValueKind) readView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := readView{mode: s.fault.Mode, changed: s.changed}
	published := s.values[kind]
	if kind == Config && s.fault.ConfigRevision != 0 {
		view.publication, view.found = published.withRevision(s.fault.ConfigRevision)
		return view
	}
	if s.fault.Mode == Stale {
		now = s.faultSetAt
	}
	if kind == Config {
		view.publication, view.found = published.latestAt(now)
		return view
	}
	lag := s.fault.ListLag.Std()
	view.publication, view.found = published.latestAt(now.Add(-lag))
	if !view.found && len(published) > 0 {
		// With a lag longer than the age of the history, readers get its oldest
		// listing, which is the closest to the listing of that time.
		view.publication, view.found = published[0], true
	}
	if publishedAt, ok := published.nextAfter(now.Add(-lag)); ok && s.fault.Mode != Stale {
		view.nextChange = publishedAt.Add(lag)
	}
	return view
}

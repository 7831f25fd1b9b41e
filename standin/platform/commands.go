package platform

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// store holds the values and the fault. Its commands are in this file and
// its queries in queries.go.
type store struct {
	mu      sync.Mutex
	values  [2]history
	listing fleet.Listing
	fault   Fault
	since   time.Time
	// changed is closed and replaced at each command.
	changed chan struct{}
}

func newStore(now time.Time) (*store, error) {
	s := &store{changed: make(chan struct{})}
	// The list exists from the start, so that a reader that asks before any
	// process is listed gets an empty list and not an error.
	if _, err := s.putListing(now, fleet.Listing{}); err != nil {
		return nil, err
	}
	return s, nil
}

// putConfig publishes a configuration and returns its revision.
func (s *store) putConfig(now time.Time, document []byte) fleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publish(now, Config, func(fleet.Revision) []byte { return document })
}

// putListing replaces the list and returns its revision.
func (s *store) putListing(now time.Time, listing fleet.Listing) (fleet.Revision, error) {
	return s.editListing(now, func(l *fleet.Listing) { *l = listing })
}

// putInstance adds or replaces one instance.
func (s *store) putInstance(now time.Time, in fleet.ListedInstance) (fleet.Revision, error) {
	return s.editListing(now, func(l *fleet.Listing) {
		l.Instances = upsert(l.Instances, in, func(e fleet.ListedInstance) bool { return e.ID == in.ID })
	})
}

// putServer adds or replaces one server.
func (s *store) putServer(now time.Time, server fleet.ListedServer) (fleet.Revision, error) {
	return s.editListing(now, func(l *fleet.Listing) {
		l.Servers = upsert(l.Servers, server, func(e fleet.ListedServer) bool { return e.ID == server.ID })
	})
}

// removeInstance removes one instance if it is listed.
func (s *store) removeInstance(now time.Time, id fleet.InstanceID) (fleet.Revision, error) {
	return s.editListing(now, func(l *fleet.Listing) {
		l.Instances = slices.DeleteFunc(l.Instances, func(e fleet.ListedInstance) bool { return e.ID == id })
	})
}

// removeServer removes one server if it is listed.
func (s *store) removeServer(now time.Time, id fleet.ServerID) (fleet.Revision, error) {
	return s.editListing(now, func(l *fleet.Listing) {
		l.Servers = slices.DeleteFunc(l.Servers, func(e fleet.ListedServer) bool { return e.ID == id })
	})
}

// setFault replaces the fault.
func (s *store) setFault(now time.Time, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.since = now
	s.wake()
}

// editListing publishes the list after an edit of a copy.
func (s *store) editListing(now time.Time, edit func(*fleet.Listing)) (fleet.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := fleet.Listing{
		Instances: slices.Clone(s.listing.Instances),
		Servers:   slices.Clone(s.listing.Servers),
	}
	edit(&next)
	var failure error
	revision := s.publish(now, List, func(r fleet.Revision) []byte {
		next.Revision = r
		text, err := json.Marshal(next)
		failure = err
		return text
	})
	if failure != nil {
		return 0, eris.Wrap(failure, "encode the list")
	}
	s.listing = next
	return revision, nil
}

// publish appends a state of a value; the lock is held.
func (s *store) publish(now time.Time, v ValueKind, encode func(fleet.Revision) []byte) fleet.Revision {
	var last fleet.Revision
	if h := s.values[v]; len(h) > 0 {
		last = h[len(h)-1].revision
	}
	e := entry{revision: last + 1, published: now}
	e.bytes = encode(e.revision)
	s.values[v] = s.values[v].add(e)
	s.wake()
	return e.revision
}

// wake lets pending watches look again; the lock is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func upsert[T any](list []T, item T, same func(T) bool) []T {
	if i := slices.IndexFunc(list, same); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

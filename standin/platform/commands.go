package platform

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// store holds the published values and the current fault. Its commands are in
// this file, its queries in queries.go.
type store struct {
	mu         sync.Mutex
	values     [2]history
	listing    fleet.Listing
	fault      Fault
	faultSetAt time.Time
	// changed is closed and replaced by each command, which wakes pending watches.
	changed chan struct{}
}

func newStore(now time.Time) (*store, error) {
	s := &store{changed: make(chan struct{})}
	// An empty listing is published at the start, so that a reader does not get
	// an error before the first instance or server is listed.
	if _, err := s.putListing(now, fleet.Listing{}); err != nil {
		return nil, err
	}
	return s, nil
}

// putConfig publishes a configuration document and returns its revision.
func (s *store) putConfig(now time.Time, document []byte) fleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publish(now, Config, func(fleet.Revision) []byte { return document })
}

// putListing publishes a whole listing and returns its revision. The revision in
// the argument is ignored.
func (s *store) putListing(now time.Time, listing fleet.Listing) (fleet.Revision, error) {
	return s.updateListing(now, func(l *fleet.Listing) { *l = listing })
}

// putInstance adds one instance to the listing, or replaces the entry with its id.
func (s *store) putInstance(now time.Time, instance fleet.ListedInstance) (fleet.Revision, error) {
	return s.updateListing(now, func(l *fleet.Listing) {
		l.Instances = upsert(l.Instances, instance, func(listed fleet.ListedInstance) bool { return listed.ID == instance.ID })
	})
}

// putServer adds one server to the listing, or replaces the entry with its id.
func (s *store) putServer(now time.Time, server fleet.ListedServer) (fleet.Revision, error) {
	return s.updateListing(now, func(l *fleet.Listing) {
		l.Servers = upsert(l.Servers, server, func(listed fleet.ListedServer) bool { return listed.ID == server.ID })
	})
}

// removeInstance removes one instance from the listing. It publishes a new revision
// also if the instance is not listed.
func (s *store) removeInstance(now time.Time, id fleet.InstanceID) (fleet.Revision, error) {
	return s.updateListing(now, func(l *fleet.Listing) {
		l.Instances = slices.DeleteFunc(l.Instances, func(listed fleet.ListedInstance) bool { return listed.ID == id })
	})
}

// removeServer removes one server from the listing. It publishes a new revision
// also if the server is not listed.
func (s *store) removeServer(now time.Time, id fleet.ServerID) (fleet.Revision, error) {
	return s.updateListing(now, func(l *fleet.Listing) {
		l.Servers = slices.DeleteFunc(l.Servers, func(listed fleet.ListedServer) bool { return listed.ID == id })
	})
}

// setFault replaces the current fault.
func (s *store) setFault(now time.Time, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.faultSetAt = now
	s.notifyWatches()
}

// updateListing applies edit to a copy of the listing and publishes the result.
func (s *store) updateListing(now time.Time, edit func(*fleet.Listing)) (fleet.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := fleet.Listing{
		Instances: slices.Clone(s.listing.Instances),
		Servers:   slices.Clone(s.listing.Servers),
	}
	edit(&next)
	var encodeErr error
	revision := s.publish(now, List, func(newRevision fleet.Revision) []byte {
		next.Revision = newRevision
		text, err := json.Marshal(next)
		encodeErr = err
		return text
	})
	if encodeErr != nil {
		return 0, eris.Wrap(encodeErr, "encode the list")
	}
	s.listing = next
	return revision, nil
}

// publish stores the next revision of a value, encoded by encode, and returns its
// number. The caller holds the lock.
func (s *store) publish(now time.Time, kind ValueKind, encode func(fleet.Revision) []byte) fleet.Revision {
	var last fleet.Revision
	if h := s.values[kind]; len(h) > 0 {
		last = h[len(h)-1].revision
	}
	next := publication{revision: last + 1, publishedAt: now}
	next.encoded = encode(next.revision)
	s.values[kind] = s.values[kind].add(next)
	s.notifyWatches()
	return next.revision
}

// notifyWatches makes pending watches check for a change. The caller holds the
// lock.
func (s *store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func upsert[T any](list []T, item T, matches func(T) bool) []T {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

package store

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Mode is the availability of the store to its clients.
type Mode uint8

const (
	// Up serves calls.
	Up Mode = iota
	// Unavailable responds with status 503.
	Unavailable
	// TooManyRequests responds with status 429.
	TooManyRequests
	// Reset closes the connection without a response.
	Reset
	// Silent accepts calls and never responds.
	Silent
	// Stalling sends the first half of a response and then nothing.
	Stalling
)

// entry is one revision of a key: its value, or its removal if Tombstone is set.
type entry struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a running simulated metadata store. Its methods are safe for concurrent
// use.
type Store struct {
	mu       sync.Mutex
	entries  map[string]entry
	changes  []entry
	revision uint64
	// compactedRevision is the last revision whose change was dropped.
	compactedRevision uint64
	mode              Mode
	pageSize          int
	callCount         int
	// failedCall is the number of the call that is refused; zero for none.
	failedCall int
	// era is reported in the header of all responses if reportsEra is set.
	era        uint64
	reportsEra bool
	// writes holds all writes with their times, for Restore.
	writes []timedWrite
	// changed is closed and replaced by each change, which wakes pending watches.
	changed chan struct{}

	listener net.Listener
	server   *http.Server
	serving  conc.WaitGroup
}

// timedWrite is a write and when it was made.
type timedWrite struct {
	entry
	at time.Time
}

// headerEra is the header field that reports the era of the store.
const headerEra = "Store-Era"

// Listen starts an empty store on a free loopback port.
func Listen() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for the store")
	}
	return Serve(listener), nil
}

// firstRevision is the revision of an empty store.
const firstRevision = 100

// Serve starts an empty store on a listener, which it closes with the store.
func Serve(listener net.Listener) *Store {
	s := &Store{
		entries:  make(map[string]entry),
		revision: firstRevision,
		pageSize: 500,
		changed:  make(chan struct{}),
		listener: listener,
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Second}
	s.serving.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections and waits until serving has ended.
func (s *Store) Close() {
	_ = s.server.Close()
	s.serving.Wait()
}

// Put creates or replaces an entry under a new revision.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	stored := entry{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if previous, exists := s.entries[key]; exists {
		stored.Created = previous.Created
	}
	s.entries[key] = stored
	s.appendChange(stored)
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Delete removes an entry under a new revision.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, key)
	s.appendChange(entry{Key: key, Revision: s.revision, Tombstone: true})
}

// appendChange adds a change to the history and wakes pending watches. The caller
// holds the lock.
func (s *Store) appendChange(latest entry) {
	s.changes = append(s.changes, latest)
	s.writes = append(s.writes, timedWrite{latest, time.Now()})
	s.notifyWatches()
}

// notifyWatches makes pending watches check for a change. The caller holds the
// lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes the availability of the store, also for pending watches.
func (s *Store) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.notifyWatches()
}

// SetPageSize changes the maximum number of entries in a page.
func (s *Store) SetPageSize(pageSize int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = pageSize
}

// Compact drops the history, so that watches from an older revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compactedRevision = s.revision
	s.notifyWatches()
}

// ReportEra makes the store report an era, which rises with each restore.
func (s *Store) ReportEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.reportsEra = era, true
}

// Restore returns to a snapshot that was taken some time ago, in a new era. The revisions
// since then are issued again.
func (s *Store) Restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := time.Now().Add(-ago)
	s.writes = slices.DeleteFunc(s.writes, func(w timedWrite) bool { return w.at.After(taken) })
	s.entries = make(map[string]entry)
	s.changes, s.revision = nil, firstRevision
	for _, w := range s.writes {
		s.revision = w.Revision
		s.changes = append(s.changes, w.entry)
		if w.Tombstone {
			delete(s.entries, w.Key)
		} else {
			s.entries[w.Key] = w.entry
		}
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.changes = slices.DeleteFunc(s.changes, func(e entry) bool { return e.Revision <= s.compactedRevision })
	s.era++
	s.notifyWatches()
}

// setEra sets the header field of the era. The caller holds the lock.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.reportsEra {
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
	}
}

// FailCall refuses the call with a number, counted from 1, with status 503.
func (s *Store) FailCall(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedCall = number
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.callCount++
		mode := s.mode
		if s.callCount == s.failedCall {
			mode = Unavailable
		}
		s.setEra(w)
		s.mu.Unlock()
		if s.applyMode(w, r, mode) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// applyMode handles the call if the mode is a fault, and reports whether it did.
func (s *Store) applyMode(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	case Silent:
		<-r.Context().Done()
	case Stalling:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"items":[`))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

// serveKey responds with the entry of a key, or with status 404.
func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.entries[r.URL.Query().Get("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		entry
		CurrentRevision uint64 `json:"current_rev"`
	}{found, s.revision})
}

// serveRange responds with a page of entries in the order of their keys.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	hasMore := len(keys) > s.pageSize
	page := []entry{}
	for _, key := range keys[:min(len(keys), s.pageSize)] {
		page = append(page, s.entries[key])
	}
	writeJSON(w, map[string]any{"items": page, "has_more": hasMore, "current_rev": s.revision})
}

// serveWatch responds with the changes after a revision, once there are any. If
// there are none within ?wait_ms, it responds with an empty list.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || waitMillis < 0 || waitMillis > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, compacted := s.changesAfter(query.Get("prefix"), after)
		revision, changed, mode := s.revision, s.changed, s.mode
		s.setEra(w)
		s.mu.Unlock()
		switch {
		case s.applyMode(w, r, mode):
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []entry{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision to keys with the prefix, and
// whether some of them were dropped by compaction or the store does not have the revision.
// The caller holds the lock.
func (s *Store) changesAfter(prefix string, after uint64) ([]entry, bool) {
	if after < s.compactedRevision || s.reportsEra && after > s.revision {
		return nil, true
	}
	var events []entry
	for _, change := range s.changes {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, false
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

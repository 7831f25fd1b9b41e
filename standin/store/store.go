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

// Mode says how the store answers.
type Mode uint8

const (
	// Up answers.
	Up Mode = iota
	// Unavailable answers 503.
	Unavailable
	// TooManyRequests answers 429.
	TooManyRequests
	// Reset closes the connection.
	Reset
	// Silent takes calls and never answers.
	Silent
)

// item is an entry, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the stand-in. Its methods may be called concurrently.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	log      []item
	revision uint64
	// compacted is the last revision whose changes are gone.
	compacted uint64
	mode      Mode
	page      int
	calls     int
	changed   chan struct{}

	listener net.Listener
	server   *http.Server
	wg       conc.WaitGroup
}

// Listen starts a store on a free port of loopback.
func Listen() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen for the store")
	}
	s := &Store{
		items:    make(map[string]item),
		revision: 100,
		page:     500,
		changed:  make(chan struct{}),
		listener: listener,
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Second}
	s.wg.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	_ = s.server.Close()
	s.wg.Wait()
}

// Put writes an entry.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	entry := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, known := s.items[key]; known {
		entry.Created = old.Created
	}
	s.items[key] = entry
	s.append(entry)
}

// Delete removes an entry.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

// append logs a change and wakes the watches.
func (s *Store) append(entry item) {
	s.log = append(s.log, entry)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes how the store answers, also calls that wait.
func (s *Store) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.wake()
}

// SetPageSize changes the number of entries in a page.
func (s *Store) SetPageSize(page int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page = page
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.read)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		mode := s.mode
		s.mu.Unlock()
		if s.fail(w, r, mode) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// fail answers as the mode says, and reports whether it did.
func (s *Store) fail(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		if hijacked, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = hijacked.Close()
		}
	case Silent:
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

// read serves a page of entries.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > s.page
	found := []item{}
	for _, key := range keys[:min(len(keys), s.page)] {
		found = append(found, s.items[key])
	}
	answer(w, map[string]any{"items": found, "has_more": more, "current_rev": s.revision})
}

// watch serves the changes after a revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, gone := s.since(query.Get("prefix"), after)
		revision, changed, mode := s.revision, s.changed, s.mode
		s.mu.Unlock()
		switch {
		case s.fail(w, r, mode):
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, map[string]any{"events": []item{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, and whether some of them are gone.
func (s *Store) since(prefix string, after uint64) ([]item, bool) {
	if after < s.compacted {
		return nil, true
	}
	var events []item
	for _, entry := range s.log {
		if entry.Revision > after && strings.HasPrefix(entry.Key, prefix) {
			events = append(events, entry)
		}
	}
	return events, false
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one revision of a key of the metadata store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// metadataStore is a stand-in for the platform's store. It answers at once and
// linearizably, and keeps its whole history.
type metadataStore struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
}

// pageItems is the number of items in a page of the store.
const pageItems = 500

func startStore() (*metadataStore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &metadataStore{items: make(map[string]item), revision: 100, changed: make(chan struct{}), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *metadataStore) address() string { return s.listener.Addr().String() }

func (s *metadataStore) close() { _ = s.server.Close() }

// put writes an entry and returns the time of the acknowledgement.
func (s *metadataStore) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	next := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, exists := s.items[key]; exists {
		next.Created = old.Created
	}
	s.items[key] = next
	s.append(next)
	return time.Now()
}

// remove deletes an entry and returns the time of the acknowledgement.
func (s *metadataStore) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
	return time.Now()
}

func (s *metadataStore) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (s *metadataStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, exists := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{found, revision})
}

func (s *metadataStore) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), query.Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"has_more"`
		CurrentRev uint64 `json:"current_rev"`
	}{Items: []item{}, HasMore: len(keys) > pageItems, CurrentRev: s.revision}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, page)
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		page := struct {
			Events     []item `json:"events"`
			CurrentRev uint64 `json:"current_rev"`
		}{Events: []item{}, CurrentRev: s.revision}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				page.Events = append(page.Events, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 || !waiting {
			reply(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

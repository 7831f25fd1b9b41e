package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	At      time.Time
	Server  string
	Service string
	ID      string
	Path    string
	Tenant  string
	// HasKey is set if the request came with a key in Authorization.
	HasKey bool
}

// backend is a stand-in for a server of PROTOCOL.md that enters itself in the store.
type backend struct {
	id, service, address, zone string
	capacity                   int
	born                       int64
	store                      *store
	// slots has a place for each request that the server works on.
	slots chan struct{}
	// onLate is called after a delayed write was done.
	onLate func()

	mu   sync.Mutex
	runs []run
	// taken is the number of requests that the server works on or has queued.
	taken    int
	sequence int
	state    string
	// delay is how much later the next write is done.
	delay  time.Duration
	server *http.Server
	stop   chan struct{}
	// stopBeats ends the present series of heartbeats.
	stopBeats chan struct{}
}

func startBackend(s *store, id, service, zone, address string, capacity int) (*backend, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, address: listener.Addr().String(), capacity: capacity, born: time.Now().UnixMilli(), store: s, state: "ready", stop: make(chan struct{}), slots: make(chan struct{}, capacity)}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	b.beat()
	b.restartBeats()
	return b, nil
}

const (
	// heartbeat is the time between two writes of an entry.
	heartbeat = 1500 * time.Millisecond
	// work is how long a server works on a request.
	work = 20 * time.Millisecond
	// queued is the number of requests that a server queues.
	queued = 16
)

// restartBeats lets the next write follow after a heartbeat.
func (b *backend) restartBeats() {
	b.mu.Lock()
	if b.stopBeats != nil {
		close(b.stopBeats)
	}
	stop := make(chan struct{})
	b.stopBeats = stop
	b.mu.Unlock()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-stop:
				return
			case <-time.After(heartbeat):
				b.beat()
			}
		}
	}()
}

func (b *backend) beat() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "capacity": b.capacity, "state": b.state, "warmup_left_ms": 0, "sequence": b.sequence, "born": b.born}
	b.mu.Unlock()
	b.write(entry)
}

// write writes the entry of the server. While delay is set, the store neither answers nor does
// the write for that time; the server doesn't know that it will be done.
func (b *backend) write(entry map[string]any) {
	b.mu.Lock()
	delay := b.delay
	b.delay = 0
	b.mu.Unlock()
	if delay == 0 {
		b.store.putEntry("servers/"+b.id, entry)
		return
	}
	time.AfterFunc(delay, func() {
		b.store.putEntry("servers/"+b.id, entry)
		if b.onLate != nil {
			b.onLate()
		}
	})
}

// setState changes the state in the entry of the server.
func (b *backend) setState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.beat()
}

// end ends the server without notice.
func (b *backend) end() {
	close(b.stop)
	_ = b.server.Close()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Galenaridge-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Galenaridge-Request-Id")
	w.Header().Set("Galenaridge-Request-Id", id)
	b.mu.Lock()
	if b.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	b.mu.Unlock()
	if expected := r.Header.Get("Galenaridge-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Galenaridge-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Galenaridge-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	if b.taken >= b.capacity+queued {
		b.mu.Unlock()
		w.Header().Set("Galenaridge-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.taken++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.taken--
		b.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.mu.Lock()
	b.runs = append(b.runs, run{At: time.Now(), Server: b.id, Service: b.service, ID: id, Path: r.RequestURI, Tenant: r.Header.Get("Galenaridge-Tenant"), HasKey: strings.HasPrefix(r.Header.Get("Authorization"), "Bearer ")})
	b.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	if b.state == "draining" {
		w.Header().Set("Server-Leaving", "1")
	}
	b.mu.Unlock()
	w.Header().Set("Galenaridge-Server-Signature", "sig."+b.id+"."+id)
	answer := fmt.Sprintf("%s %s %s by %s", r.Method, r.RequestURI, id, b.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// allRuns returns the requests that a number of servers began to work on.
func allRuns(backends ...*backend) []run {
	var all []run
	for _, b := range backends {
		b.mu.Lock()
		all = append(all, b.runs...)
		b.mu.Unlock()
	}
	return all
}

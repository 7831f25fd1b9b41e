package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a server. It works on as many requests as it has slots at a
// time, queues some more, and rejects others with 503.
type backend struct {
	id, service, zone string
	work              time.Duration
	born              int64
	listener          net.Listener
	http              *http.Server
	slots             chan struct{}
	queue             int
	waiting           atomic.Int64
	leaving           atomic.Bool
	record            *record
	// arrived is called for each request that has an id, before any work.
	arrived func(b *backend, id string)
	// handle replaces the normal answer of requests that are run, if it is set.
	handle func(b *backend, w http.ResponseWriter, r *http.Request) bool
}

func startBackend(r *record, d deployment, id string, s service) (*backend, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{record: r, id: id, service: s.name, zone: d.zones[0], work: s.work, born: time.Now().UnixMilli(), listener: listener, queue: d.queue, slots: make(chan struct{}, d.slots)}
	b.http = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	return b, nil
}

func (b *backend) run() { go func() { _ = b.http.Serve(b.listener) }() }

// entry returns the entry of the server in the store.
func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "capacity": cap(b.slots),
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": b.born,
	}
}

func (b *backend) key() string { return "servers/" + b.id }

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Galenaridge-Request-Id")
	header := w.Header()
	header.Set("Galenaridge-Request-Id", id)
	if b.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	running := len(b.slots)
	header.Set("Galenaridge-Server-Load", fmt.Sprintf("%d,%d,%d", running, b.waiting.Load(), cap(b.slots)))
	refuse := func(status int) {
		header.Set("Galenaridge-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Galenaridge-Expected-Instance"); expected != "" && expected != b.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	b.record.add("request %s reaches server %s", id, b.id)
	if b.arrived != nil {
		b.arrived(b, id)
	}
	deadlineMS, err := strconv.ParseFloat(r.Header.Get("Galenaridge-Deadline-Ms"), 64)
	if err != nil {
		deadlineMS = 30_000
	}
	deadline := time.NewTimer(time.Duration(deadlineMS * float64(time.Millisecond)))
	defer deadline.Stop()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if b.waiting.Add(1) > int64(b.queue+cap(b.slots)) {
		b.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-deadline.C:
		b.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	b.record.add("server %s runs %s", b.id, id)
	if b.handle != nil && b.handle(b, w, r) {
		return
	}
	work := time.NewTimer(time.Duration(float64(b.work) * (0.7 + 0.6*rand.Float64())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		header.Set("Galenaridge-Server-Signature", b.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if b.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	header.Set("Galenaridge-Server-Signature", b.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

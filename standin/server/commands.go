package server

import (
	"io"
	"sync"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

// ledger counts what the server did. Its commands are in this file and its
// queries in queries.go.
type ledger struct {
	mu         sync.Mutex
	slots      fleet.Slots
	stats      Stats
	keys       map[fleet.Key]int
	drainSince time.Time
	lastStart  time.Time
	// counted is until when the busy time is counted.
	counted time.Time
	// journal receives each key that starts to run, one a line, so that the
	// count survives the process.
	journal io.Writer
}

func newLedger(slots fleet.Slots, journal io.Writer) *ledger {
	return &ledger{slots: slots, keys: map[fleet.Key]int{}, journal: journal}
}

// begin takes a slot for a request and reports whether there was one. The
// number returned counts the requests that started, from 1.
func (l *ledger) begin(now time.Time, key fleet.Key) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countBusy(now)
	l.stats.PeakRequests = max(l.stats.PeakRequests, l.stats.InFlight+1)
	if l.stats.InFlight >= int(l.slots) {
		l.stats.Shed++
		return 0, false
	}
	l.stats.InFlight++
	l.stats.Started++
	l.lastStart = now
	if !l.drainSince.IsZero() {
		l.stats.StartedAfterDrain++
	}
	if key != "" {
		l.keys[key]++
		_, _ = io.WriteString(l.journal, string(key)+"\n")
	}
	return l.stats.Started, true
}

// result says how a started request ended.
type result uint8

const (
	finished result = iota
	failed
	aborted
)

// end gives back the slot of a started request.
func (l *ledger) end(now time.Time, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countBusy(now)
	l.stats.InFlight--
	switch r {
	case finished:
		l.stats.Finished++
	case failed:
		l.stats.Failed++
	case aborted:
		l.stats.Aborted++
	}
}

// countBusy adds the time of the requests in progress since the last call; the
// lock is held.
func (l *ledger) countBusy(now time.Time) {
	l.stats.Busy += jsontime.Duration(now.Sub(l.counted) * time.Duration(l.stats.InFlight))
	l.counted = now
}

// expire counts a request that came past its deadline.
func (l *ledger) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Expired++
}

// drain marks the start of draining; later calls change nothing.
func (l *ledger) drain(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainSince.IsZero() {
		l.drainSince = now
	}
}

// connect counts a new connection and reports whether it is within the limit.
func (l *ledger) connect(limit fleet.Conns) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Conns++
	l.stats.PeakConns = max(l.stats.PeakConns, l.stats.Conns)
	return limit <= 0 || l.stats.Conns <= int(limit)
}

// disconnect counts the end of a connection.
func (l *ledger) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Conns--
}

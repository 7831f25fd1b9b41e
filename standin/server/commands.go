package server

import (
	"io"
	"sync"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

// counters counts the requests, protected keys and connections of a server and
// enforces its slots. Its commands are in this file, its queries in queries.go.
type counters struct {
	mu            sync.Mutex
	slots         fleet.Slots
	stats         Stats
	startsByKey   map[fleet.Key]int
	drainingSince time.Time
	lastStarted   time.Time
	// busyCountedUntil is the time up to which stats.Busy is complete.
	busyCountedUntil time.Time
	// journal receives each protected key when its request starts, one per
	// line, so that the count survives the process.
	journal io.Writer
}

func newCounters(slots fleet.Slots, journal io.Writer) *counters {
	return &counters{slots: slots, startsByKey: map[fleet.Key]int{}, journal: journal}
}

// startRequest takes a slot for a request and reports whether one was free. It
// returns the number of the request among the started ones, counted from 1.
func (c *counters) startRequest(now time.Time, key fleet.Key) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	c.stats.PeakRequests = max(c.stats.PeakRequests, c.stats.InFlight+1)
	if c.stats.InFlight >= int(c.slots) {
		c.stats.Shed++
		return 0, false
	}
	c.stats.InFlight++
	c.stats.Started++
	c.lastStarted = now
	if !c.drainingSince.IsZero() {
		c.stats.StartedAfterDrain++
	}
	if key != "" {
		c.startsByKey[key]++
		_, _ = io.WriteString(c.journal, string(key)+"\n")
	}
	return c.stats.Started, true
}

// result is the outcome of a started request.
type result uint8

const (
	finished result = iota
	failed
	aborted
)

// finishRequest releases the slot of a started request and counts its result.
func (c *counters) finishRequest(now time.Time, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBusyTime(now)
	c.stats.InFlight--
	switch r {
	case finished:
		c.stats.Finished++
	case failed:
		c.stats.Failed++
	case aborted:
		c.stats.Aborted++
	}
}

// addBusyTime adds the time that the requests in flight have taken since the last
// call to the busy time. The caller holds the lock.
func (c *counters) addBusyTime(now time.Time) {
	c.stats.Busy += jsontime.Duration(now.Sub(c.busyCountedUntil) * time.Duration(c.stats.InFlight))
	c.busyCountedUntil = now
}

// countExpired counts a request that arrived after its deadline.
func (c *counters) countExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Expired++
}

// startDraining records the start of draining. Later calls have no effect.
func (c *counters) startDraining(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainingSince.IsZero() {
		c.drainingSince = now
	}
}

// addConnection counts a new connection and reports whether it is within the
// limit; a limit of zero allows any number.
func (c *counters) addConnection(limit fleet.Conns) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Conns++
	c.stats.PeakConns = max(c.stats.PeakConns, c.stats.Conns)
	return limit <= 0 || c.stats.Conns <= int(limit)
}

// removeConnection removes a closed connection from the count.
func (c *counters) removeConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Conns--
}

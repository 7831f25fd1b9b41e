package server

import (
	"maps"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

// Stats holds the counts of a server since its start.
type Stats struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	// PeakRequests includes requests that were shed.
	PeakRequests int `json:"peak_requests"`
	// PeakConns includes connections that were closed because they exceeded
	// the limit.
	PeakConns int `json:"peak_conns"`
	Conns     int `json:"conns"`
	InFlight  int `json:"in_flight"`
	// Busy is the sum of the time that each started request was in flight.
	Busy     jsontime.Duration `json:"busy"`
	Started  int               `json:"started"`
	Finished int               `json:"finished"`
	Failed   int               `json:"failed"`
	Aborted  int               `json:"aborted"`
	Shed     int               `json:"shed"`
	// Expired counts requests that arrived after their deadline and were not
	// started.
	Expired int `json:"expired"`
	// KeysRun counts distinct protected keys; KeysRepeated counts the keys that
	// started more than once.
	KeysRun      int `json:"keys_run"`
	KeysRepeated int `json:"keys_repeated"`
	// StartedAfterDrain counts requests that started after draining began.
	StartedAfterDrain int `json:"started_after_drain"`
	// LastStarted is zero before the first request starts, and DrainingSince
	// before draining starts.
	LastStarted   time.Time `json:"last_started"`
	DrainingSince time.Time `json:"draining_since"`
}

// snapshot returns the counts so far, without the id and service of the server.
func (c *counters) snapshot(now time.Time) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Busy += jsontime.Duration(now.Sub(c.busyCountedUntil) * time.Duration(stats.InFlight))
	stats.KeysRun = len(c.startsByKey)
	for _, n := range c.startsByKey {
		if n > 1 {
			stats.KeysRepeated++
		}
	}
	stats.LastStarted = c.lastStarted
	stats.DrainingSince = c.drainingSince
	return stats
}

// startsOfKeys returns the number of started requests of each protected key.
func (c *counters) startsOfKeys() map[fleet.Key]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.startsByKey)
}

// requestsInFlight returns the number of started requests that have not ended.
func (c *counters) requestsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats.InFlight
}

// isDraining reports whether draining has started.
func (c *counters) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.drainingSince.IsZero()
}

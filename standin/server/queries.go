package server

import (
	"maps"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

// Stats is what a server counted since its start.
type Stats struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	// PeakRequests includes requests that were shed.
	PeakRequests int `json:"peak_requests"`
	// PeakConns includes connections that were closed for the limit.
	PeakConns int `json:"peak_conns"`
	Conns     int `json:"conns"`
	InFlight  int `json:"in_flight"`
	// Busy is the time of all requests in progress, added up.
	Busy     jsontime.Duration `json:"busy"`
	Started  int               `json:"started"`
	Finished int               `json:"finished"`
	Failed   int               `json:"failed"`
	Aborted  int               `json:"aborted"`
	Shed     int               `json:"shed"`
	// Expired requests came past their deadline and were not started.
	Expired int `json:"expired"`
	// KeysRun counts distinct protected keys; KeysRepeated counts those of
	// them that started more than once.
	KeysRun      int `json:"keys_run"`
	KeysRepeated int `json:"keys_repeated"`
	// StartedAfterDrain counts requests that started after draining began.
	StartedAfterDrain int `json:"started_after_drain"`
	// LastStarted and DrainingSince are zero if the event has not occurred.
	LastStarted   time.Time `json:"last_started"`
	DrainingSince time.Time `json:"draining_since"`
}

// snapshot returns the counts so far.
func (l *ledger) snapshot(now time.Time) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Busy += jsontime.Duration(now.Sub(l.counted) * time.Duration(stats.InFlight))
	stats.KeysRun = len(l.keys)
	for _, n := range l.keys {
		if n > 1 {
			stats.KeysRepeated++
		}
	}
	stats.LastStarted = l.lastStart
	stats.DrainingSince = l.drainSince
	return stats
}

// keyRuns returns how often each protected key started to run.
func (l *ledger) keyRuns() map[fleet.Key]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.keys)
}

// load returns the requests in progress.
func (l *ledger) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats.InFlight
}

// draining reports whether draining began.
func (l *ledger) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.drainSince.IsZero()
}

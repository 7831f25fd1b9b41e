package observe

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
)

// ConfigTracker follows which configuration is in force, from samples.
type ConfigTracker struct {
	mu      sync.Mutex
	highest fleet.Version
	last    map[fleet.Member]fleet.Version
	now     map[harness.Slot]operator.Config
	// firstFull is when each version was first seen in force everywhere.
	firstFull map[fleet.Version]time.Time
	slots     int
	samples   int
	reverts   []string
}

// NewConfigTracker returns versions of a fleet with the number of slots.
func NewConfigTracker(slots int) *ConfigTracker {
	return &ConfigTracker{
		last:      map[fleet.Member]fleet.Version{},
		firstFull: map[fleet.Version]time.Time{},
		slots:     slots,
	}
}

// AddSample adds a sample.
func (w *ConfigTracker) AddSample(at time.Time, states map[harness.Slot]operator.InstanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	w.now = map[harness.Slot]operator.Config{}
	highest, lowest := fleet.Version(0), ^fleet.Version(0)
	for slot, state := range states {
		member := fleet.Member{ID: state.Instance.ID, Incarnation: state.Instance.Incarnation}
		version := state.Config.Version
		if version < w.last[member] {
			w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", member, w.last[member], version))
		}
		w.last[member] = version
		w.now[slot] = state.Config
		highest = max(highest, version)
		lowest = min(lowest, version)
	}
	if highest < w.highest && len(states) == w.slots {
		w.reverts = append(w.reverts, fmt.Sprintf("the fleet went from %d to %d", w.highest, highest))
	}
	w.highest = max(w.highest, highest)
	if len(states) < w.slots {
		return
	}
	if _, seen := w.firstFull[lowest]; !seen {
		w.firstFull[lowest] = at
	}
}

// AdoptedEverywhereAt returns when a version, or a higher one, was first in force on all
// instances.
func (w *ConfigTracker) AdoptedEverywhereAt(version fleet.Version) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var first time.Time
	for v, at := range w.firstFull {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// HighestVersion returns the highest version and the number of digests of it that
// the last sample saw.
func (w *ConfigTracker) HighestVersion() (fleet.Version, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	digests := map[fleet.Digest]bool{}
	for _, c := range w.now {
		if c.Version == w.highest {
			digests[c.Digest] = true
		}
	}
	return w.highest, len(digests)
}

// Reverts describes each version that was seen to go down, and returns the
// number of samples.
func (w *ConfigTracker) Reverts() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.reverts), w.samples
}

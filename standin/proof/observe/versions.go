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
	mu           sync.Mutex
	highest      fleet.Version
	lastVersions map[fleet.Member]fleet.Version
	configs      map[harness.Slot]operator.Config
	// adoptedAt is when each version was first seen in force everywhere.
	adoptedAt     map[fleet.Version]time.Time
	instanceCount int
	sampleCount   int
	reverts       []string
}

// NewConfigTracker returns versions of a fleet with the number of slots.
func NewConfigTracker(instanceCount int) *ConfigTracker {
	return &ConfigTracker{
		lastVersions:  map[fleet.Member]fleet.Version{},
		adoptedAt:     map[fleet.Version]time.Time{},
		instanceCount: instanceCount,
	}
}

// AddSample adds a sample.
func (t *ConfigTracker) AddSample(at time.Time, states map[harness.Slot]operator.InstanceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sampleCount++
	t.configs = map[harness.Slot]operator.Config{}
	highest, lowest := fleet.Version(0), ^fleet.Version(0)
	for slot, state := range states {
		member := fleet.Member{ID: state.Instance.ID, Incarnation: state.Instance.Incarnation}
		version := state.Config.Version
		if version < t.lastVersions[member] {
			t.reverts = append(t.reverts, fmt.Sprintf("%s went from %d to %d", member, t.lastVersions[member], version))
		}
		t.lastVersions[member] = version
		t.configs[slot] = state.Config
		highest = max(highest, version)
		lowest = min(lowest, version)
	}
	if highest < t.highest && len(states) == t.instanceCount {
		t.reverts = append(t.reverts, fmt.Sprintf("the fleet went from %d to %d", t.highest, highest))
	}
	t.highest = max(t.highest, highest)
	if len(states) < t.instanceCount {
		return
	}
	if _, known := t.adoptedAt[lowest]; !known {
		t.adoptedAt[lowest] = at
	}
}

// AdoptedEverywhereAt returns when a version, or a higher one, was first in force on all
// instances.
func (t *ConfigTracker) AdoptedEverywhereAt(version fleet.Version) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var earliest time.Time
	for v, at := range t.adoptedAt {
		if v >= version && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// HighestVersion returns the highest version and the number of digests of it that
// the last sample saw.
func (t *ConfigTracker) HighestVersion() (fleet.Version, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := map[fleet.Digest]bool{}
	for _, config := range t.configs {
		if config.Version == t.highest {
			digests[config.Digest] = true
		}
	}
	return t.highest, len(digests)
}

// Reverts describes each version that was seen to go down, and returns the
// number of samples.
func (t *ConfigTracker) Reverts() ([]string, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.reverts), t.sampleCount
}

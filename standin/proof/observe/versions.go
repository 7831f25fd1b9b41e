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

// ConfigTracker records from samples which version of the configuration each
// instance has adopted. It is safe for concurrent use.
type ConfigTracker struct {
	mu           sync.Mutex
	highest      fleet.Version
	lastVersions map[fleet.Member]fleet.Version
	configs      map[harness.Slot]operator.Config
	// adoptedAt holds, for each version that was the lowest in a sample of all
	// instances, the time of the first such sample. By then all instances had
	// adopted this version or a higher one.
	adoptedAt     map[fleet.Version]time.Time
	instanceCount int
	sampleCount   int
	reverts       []string
}

// NewConfigTracker returns a tracker for a fleet with the given number of
// instances.
func NewConfigTracker(instanceCount int) *ConfigTracker {
	return &ConfigTracker{
		lastVersions:  map[fleet.Member]fleet.Version{},
		adoptedAt:     map[fleet.Version]time.Time{},
		instanceCount: instanceCount,
	}
}

// AddSample adds the states of the instances that responded at a time.
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

// AdoptedEverywhereAt returns the time of the first sample in which all
// instances had adopted the given version or a higher one. It returns false if
// there is no such sample.
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

// HighestVersion returns the highest version in all samples, and how many
// different documents of this version the last sample contains.
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

// Reverts describes each change to a lower version, of one instance or of the
// whole fleet, and returns the number of samples.
func (t *ConfigTracker) Reverts() ([]string, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.reverts), t.sampleCount
}

package config

import "galenaridge/core/fleet"

// Watcher is a live member of a failure domain that may watch the platform.
type Watcher struct {
	ID fleet.InstanceID
	// Failing means that the member reports failing reads of the platform.
	Failing bool
}

// Watchers returns the members that watch the platform for a failure domain:
// the first two in rendezvous order, and the next two while all before them
// report failing reads.
func Watchers(domain fleet.Domain, live []Watcher) []fleet.InstanceID { return nil }

package config

import (
	"cmp"
	"slices"

	"galenaridge/core/fleet"
)

// watchersAtOnce is how many members watch the platform for a failure domain:
// one could fail unnoticed until its lease ends.
const watchersAtOnce = 2

// Watcher is a live member of a failure domain that may watch the platform.
type Watcher struct {
	ID fleet.InstanceID
	// Failing means that the member reports failing reads of the platform.
	Failing bool
}

// Watchers returns the members that watch the platform for a failure domain:
// the first two in rendezvous order, and the next two as long as all before
// them report failing reads.
func Watchers(domain fleet.Domain, live []Watcher) []fleet.InstanceID {
	resource := fleet.Resource("watch/" + string(domain))
	ordered := slices.SortedFunc(slices.Values(live), func(a, b Watcher) int {
		return cmp.Or(
			cmp.Compare(fleet.Score(b.ID, resource), fleet.Score(a.ID, resource)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var chosen []fleet.InstanceID
	for group := range slices.Chunk(ordered, watchersAtOnce) {
		working := false
		for _, w := range group {
			chosen = append(chosen, w.ID)
			working = working || !w.Failing
		}
		if working {
			break
		}
	}
	return chosen
}

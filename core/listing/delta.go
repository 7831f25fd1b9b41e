package listing

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"galenaridge/core/fleet"
)

// ErrRevisionMismatch means that a delta does not start at the revision of the list.
var ErrRevisionMismatch = errors.New("delta starts at another revision of the list")

// Delta takes a list from one revision to a later one.
type Delta struct {
	From fleet.Revision `json:"from"`
	To   fleet.Revision `json:"to"`
	// Instances and Servers are new or changed entries.
	Instances []fleet.ListedInstance `json:"instances,omitempty"`
	Servers   []fleet.ListedServer   `json:"servers,omitempty"`
	// RemovedInstances and GoneServers are no longer listed.
	RemovedInstances []fleet.InstanceID `json:"gone_instances,omitempty"`
	RemovedServers   []fleet.ServerID   `json:"gone_servers,omitempty"`
}

// Diff returns the delta from one list to a later one.
func Diff(from, to fleet.Listing) Delta {
	d := Delta{From: from.Revision, To: to.Revision}
	d.Instances, d.RemovedInstances = changes(from.Instances, to.Instances, instanceID)
	d.Servers, d.RemovedServers = changes(from.Servers, to.Servers, serverID)
	return d
}

// Apply returns the list that results from a delta, in order of ids. The list
// given is not modified. It fails with ErrRevision.
func Apply(list fleet.Listing, d Delta) (fleet.Listing, error) {
	if list.Revision != d.From {
		return fleet.Listing{}, ErrRevisionMismatch
	}
	return fleet.Listing{
		Revision:  d.To,
		Instances: merge(list.Instances, d.Instances, d.RemovedInstances, instanceID),
		Servers:   merge(list.Servers, d.Servers, d.RemovedServers, serverID),
	}, nil
}

// Compose returns one delta with the effect of two that follow each other.
func Compose(first, second Delta) (Delta, error) {
	if first.To != second.From {
		return Delta{}, ErrRevisionMismatch
	}
	joined := Delta{From: first.From, To: second.To}
	joined.Instances = merge(first.Instances, second.Instances, second.RemovedInstances, instanceID)
	joined.Servers = merge(first.Servers, second.Servers, second.RemovedServers, serverID)
	joined.RemovedInstances = gone(first.RemovedInstances, second.RemovedInstances, joined.Instances, instanceID)
	joined.RemovedServers = gone(first.RemovedServers, second.RemovedServers, joined.Servers, serverID)
	return joined, nil
}

func instanceID(i fleet.ListedInstance) fleet.InstanceID { return i.ID }

func serverID(s fleet.ListedServer) fleet.ServerID { return s.ID }

// changes returns the entries that are new or changed, and the ids that are
// gone, each in order of id.
func changes[E comparable, ID cmp.Ordered](from, to []E, id func(E) ID) ([]E, []ID) {
	before := index(from, id)
	var changed []E
	for _, entry := range to {
		if old, known := before[id(entry)]; !known || old != entry {
			changed = append(changed, entry)
		}
		delete(before, id(entry))
	}
	slices.SortFunc(changed, func(a, b E) int { return cmp.Compare(id(a), id(b)) })
	return changed, slices.Sorted(maps.Keys(before))
}

// merge returns the entries with changes put in and the gone ones left out, in
// order of id.
func merge[E any, ID cmp.Ordered](entries, changed []E, gone []ID, id func(E) ID) []E {
	all := index(entries, id)
	for _, g := range gone {
		delete(all, g)
	}
	for _, entry := range changed {
		all[id(entry)] = entry
	}
	merged := make([]E, 0, len(all))
	for _, key := range slices.Sorted(maps.Keys(all)) {
		merged = append(merged, all[key])
	}
	return merged
}

// gone joins two lists of ids that are gone and leaves out those that came back.
func gone[E any, ID cmp.Ordered](first, second []ID, present []E, id func(E) ID) []ID {
	back := index(present, id)
	var ids []ID
	for _, g := range slices.Concat(first, second) {
		if _, listed := back[g]; !listed {
			ids = append(ids, g)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func index[E any, ID comparable](entries []E, id func(E) ID) map[ID]E {
	m := make(map[ID]E, len(entries))
	for _, entry := range entries {
		m[id(entry)] = entry
	}
	return m
}

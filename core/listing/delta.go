package listing

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"galenaridge/core/fleet"
)

// ErrRevisionMismatch means that a delta does not start at the revision of the listing or
// at the end of the delta before it.
var ErrRevisionMismatch = errors.New("delta starts at another revision of the list")

// Delta holds the changes of the platform's listing from one revision to a later one.
type Delta struct {
	From fleet.Revision `json:"from"`
	To   fleet.Revision `json:"to"`
	// Instances and Servers are the new and the changed entries.
	Instances []fleet.ListedInstance `json:"instances,omitempty"`
	Servers   []fleet.ListedServer   `json:"servers,omitempty"`
	// RemovedInstances and RemovedServers are the ids of removed entries.
	RemovedInstances []fleet.InstanceID `json:"gone_instances,omitempty"`
	RemovedServers   []fleet.ServerID   `json:"gone_servers,omitempty"`
}

// Diff returns the delta from one list to a later one, with entries in order of ids.
func Diff(from, to fleet.Listing) Delta {
	d := Delta{From: from.Revision, To: to.Revision}
	d.Instances, d.RemovedInstances = diffEntries(from.Instances, to.Instances, instanceID)
	d.Servers, d.RemovedServers = diffEntries(from.Servers, to.Servers, serverID)
	return d
}

// Apply returns the listing that results from a delta, in order of ids, and does not modify
// the listing that it is given. It returns ErrRevisionMismatch if the delta does not start
// at the revision of the listing.
func Apply(list fleet.Listing, d Delta) (fleet.Listing, error) {
	if list.Revision != d.From {
		return fleet.Listing{}, ErrRevisionMismatch
	}
	return fleet.Listing{
		Revision:  d.To,
		Instances: mergeEntries(list.Instances, d.Instances, d.RemovedInstances, instanceID),
		Servers:   mergeEntries(list.Servers, d.Servers, d.RemovedServers, serverID),
	}, nil
}

// Compose returns one delta with the effect of two consecutive ones. It returns
// ErrRevisionMismatch if the second does not start where the first ends.
func Compose(first, second Delta) (Delta, error) {
	if first.To != second.From {
		return Delta{}, ErrRevisionMismatch
	}
	composed := Delta{From: first.From, To: second.To}
	composed.Instances = mergeEntries(first.Instances, second.Instances, second.RemovedInstances, instanceID)
	composed.Servers = mergeEntries(first.Servers, second.Servers, second.RemovedServers, serverID)
	composed.RemovedInstances = unlistedIDs(first.RemovedInstances, second.RemovedInstances, composed.Instances, instanceID)
	composed.RemovedServers = unlistedIDs(first.RemovedServers, second.RemovedServers, composed.Servers, serverID)
	return composed, nil
}

func instanceID(i fleet.ListedInstance) fleet.InstanceID { return i.ID }

func serverID(s fleet.ListedServer) fleet.ServerID { return s.ID }

// diffEntries returns the new and the changed entries, and the ids of the removed ones,
// each in order of ids.
func diffEntries[E comparable, ID cmp.Ordered](from, to []E, id func(E) ID) ([]E, []ID) {
	remaining := indexByID(from, id)
	var changed []E
	for _, entry := range to {
		if old, known := remaining[id(entry)]; !known || old != entry {
			changed = append(changed, entry)
		}
		delete(remaining, id(entry))
	}
	slices.SortFunc(changed, func(a, b E) int { return cmp.Compare(id(a), id(b)) })
	return changed, slices.Sorted(maps.Keys(remaining))
}

// mergeEntries returns the entries with changed entries added or replaced and removed
// ones left out, in order of ids.
func mergeEntries[E any, ID cmp.Ordered](entries, changed []E, removed []ID, id func(E) ID) []E {
	all := indexByID(entries, id)
	for _, removedID := range removed {
		delete(all, removedID)
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

// unlistedIDs returns the ids of two lists of removed entries, in order, without the ids
// of entries that are present again.
func unlistedIDs[E any, ID cmp.Ordered](first, second []ID, present []E, id func(E) ID) []ID {
	presentByID := indexByID(present, id)
	var ids []ID
	for _, removedID := range slices.Concat(first, second) {
		if _, listed := presentByID[removedID]; !listed {
			ids = append(ids, removedID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func indexByID[E any, ID comparable](entries []E, id func(E) ID) map[ID]E {
	byID := make(map[ID]E, len(entries))
	for _, entry := range entries {
		byID[id(entry)] = entry
	}
	return byID
}

package traffic

import (
	"sync"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// loadKey names an owner of slots of a service.
type loadKey struct {
	service fleet.ServiceName
	owner   fleet.InstanceID
}

// loadEntry is the last load that an owner reported, or until when it is
// avoided because it could not be reached.
type loadEntry struct {
	load  exchange.Load
	at    time.Time
	avoid time.Time
}

// loadTable remembers the loads of owners. The zero value is empty.
type loadTable struct{ entries sync.Map }

func (t *loadTable) report(service fleet.ServiceName, owner fleet.InstanceID, load exchange.Load, now time.Time) {
	t.entries.Store(loadKey{service: service, owner: owner}, loadEntry{load: load, at: now})
}

func (t *loadTable) avoid(service fleet.ServiceName, owner fleet.InstanceID, until time.Time) {
	t.entries.Store(loadKey{service: service, owner: owner}, loadEntry{avoid: until})
}

// sweep forgets entries that no longer count. Instances are replaced all the
// time under new names.
func (t *loadTable) sweep(now time.Time) {
	t.entries.Range(func(key, found any) bool {
		entry := found.(loadEntry)
		if !now.Before(entry.avoid) && now.Sub(entry.at) > loadLife {
			t.entries.CompareAndDelete(key, found)
		}
		return true
	})
}

// cost orders owners: the expected number of requests for each slot, or a
// neutral value if nothing recent is known.
func (t *loadTable) cost(service fleet.ServiceName, owner fleet.InstanceID, now time.Time) float64 {
	found, known := t.entries.Load(loadKey{service: service, owner: owner})
	if !known {
		return neutralCost
	}
	entry := found.(loadEntry)
	if now.Before(entry.avoid) {
		return avoidCost
	}
	if now.Sub(entry.at) > loadLife {
		return neutralCost
	}
	return costOf(entry.load)
}

const (
	// neutralCost is that of an owner whose slots are half used.
	neutralCost = 0.5
	// avoidCost is above that of any reachable owner.
	avoidCost = 1e9
)

func costOf(load exchange.Load) float64 {
	if load.Slots <= 0 {
		return avoidCost / 2
	}
	return (float64(load.Busy) + float64(load.Queued)) / float64(load.Slots)
}

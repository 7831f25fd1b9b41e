package traffic

import (
	"sync"
	"sync/atomic"
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
type loadTable struct {
	entries sync.Map
	// pending counts the requests to each owner that wait for a reply.
	pending sync.Map
}

// begin counts a request to an owner until the returned function is called. An
// owner whose replies do not come, as in a one-way partition, reports no load
// and gets expensive by this alone.
func (t *loadTable) begin(service fleet.ServiceName, owner fleet.InstanceID) (end func()) {
	found, _ := t.pending.LoadOrStore(loadKey{service: service, owner: owner}, new(atomic.Int64))
	count := found.(*atomic.Int64)
	count.Add(1)
	return func() { count.Add(-1) }
}

// waiting returns how many requests to an owner wait for a reply.
func (t *loadTable) waiting(key loadKey) float64 {
	found, known := t.pending.Load(key)
	if !known {
		return 0
	}
	return float64(found.(*atomic.Int64).Load())
}

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
	t.pending.Range(func(key, found any) bool {
		if found.(*atomic.Int64).Load() == 0 {
			t.pending.CompareAndDelete(key, found)
		}
		return true
	})
}

// cost orders owners: the expected number of requests for each slot, or a
// neutral value if nothing recent is known, and what waits for a reply.
func (t *loadTable) cost(service fleet.ServiceName, owner fleet.InstanceID, now time.Time) float64 {
	key := loadKey{service: service, owner: owner}
	waiting := t.waiting(key) / waitingSlots
	found, known := t.entries.Load(key)
	if !known {
		return neutralCost + waiting
	}
	entry := found.(loadEntry)
	switch {
	case now.Before(entry.avoid):
		return avoidCost
	case now.Sub(entry.at) > loadLife:
		return neutralCost + waiting
	default:
		return costOf(entry.load) + waiting
	}
}

const (
	// neutralCost is that of an owner whose slots are half used.
	neutralCost = 0.5
	// waitingSlots is how many requests that wait for a reply count like one for
	// each slot. Most of them are in the reported load as well, so they weigh
	// less than that.
	waitingSlots = 8
	// avoidCost is above that of any reachable owner.
	avoidCost = 1e9
)

func costOf(load exchange.Load) float64 {
	if load.Slots <= 0 {
		return avoidCost / 2
	}
	return (float64(load.Busy) + float64(load.Queued)) / float64(load.Slots)
}

package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// loadKey identifies an owner of slots of a service.
type loadKey struct {
	service fleet.ServiceName
	owner   fleet.InstanceID
}

// loadEntry is the last load that an owner reported or, for an owner that could
// not be reached, the time until which it is avoided.
type loadEntry struct {
	load       exchange.Load
	reportedAt time.Time
	avoidUntil time.Time
}

// loadTable stores the reported loads and the pending requests of owners. The
// zero value is empty.
type loadTable struct {
	// entries maps loadKey to loadEntry.
	entries sync.Map
	// pending maps loadKey to an *atomic.Int64, the number of requests to the
	// owner that wait for a reply.
	pending sync.Map
}

// trackRequest counts a request to an owner as pending until finish is called.
// An owner whose replies are lost, as in a one-way partition, reports no load;
// only its pending requests raise its cost.
func (t *loadTable) trackRequest(service fleet.ServiceName, owner fleet.InstanceID) (finish func()) {
	counter, _ := t.pending.LoadOrStore(loadKey{service: service, owner: owner}, new(atomic.Int64))
	count := counter.(*atomic.Int64)
	count.Add(1)
	return func() { count.Add(-1) }
}

// pendingRequests returns the number of requests to an owner that wait for a
// reply.
func (t *loadTable) pendingRequests(key loadKey) float64 {
	counter, known := t.pending.Load(key)
	if !known {
		return 0
	}
	return float64(counter.(*atomic.Int64).Load())
}

func (t *loadTable) recordLoad(service fleet.ServiceName, owner fleet.InstanceID, load exchange.Load, now time.Time) {
	t.entries.Store(loadKey{service: service, owner: owner}, loadEntry{load: load, reportedAt: now})
}

func (t *loadTable) markUnreachable(service fleet.ServiceName, owner fleet.InstanceID, until time.Time) {
	t.entries.Store(loadKey{service: service, owner: owner}, loadEntry{avoidUntil: until})
}

// removeExpired removes entries that no longer affect the cost. Without it the
// table would grow, because replacement instances get new ids.
func (t *loadTable) removeExpired(now time.Time) {
	t.entries.Range(func(key, value any) bool {
		entry := value.(loadEntry)
		if !now.Before(entry.avoidUntil) && now.Sub(entry.reportedAt) > loadTTL {
			t.entries.CompareAndDelete(key, value)
		}
		return true
	})
	t.pending.Range(func(key, value any) bool {
		if value.(*atomic.Int64).Load() == 0 {
			t.pending.CompareAndDelete(key, value)
		}
		return true
	})
}

// cost returns the cost by which owners are compared; lower is better. It is the
// number of running and queued requests per slot, or unknownLoadCost without a
// recent report, plus a share for the pending requests. An owner that could not
// be reached costs unreachableCost.
func (t *loadTable) cost(service fleet.ServiceName, owner fleet.InstanceID, now time.Time) float64 {
	key := loadKey{service: service, owner: owner}
	pendingCost := t.pendingRequests(key) / pendingPerCostUnit
	value, known := t.entries.Load(key)
	if !known {
		return unknownLoadCost + pendingCost
	}
	entry := value.(loadEntry)
	switch {
	case now.Before(entry.avoidUntil):
		return unreachableCost
	case now.Sub(entry.reportedAt) > loadTTL:
		return unknownLoadCost + pendingCost
	default:
		return loadCost(entry.load) + pendingCost
	}
}

const (
	// unknownLoadCost equals the cost of an owner with half of its slots in use.
	unknownLoadCost = 0.5
	// pendingPerCostUnit is the number of pending requests that add 1 to the
	// cost, as much as one request per slot. Most pending requests are part of
	// the reported load as well, hence the low weight.
	pendingPerCostUnit = 8
	// unreachableCost is above the cost of any reachable owner.
	unreachableCost = 1e9
)

// loadCost returns the running and queued requests per slot. An owner without
// slots costs half of unreachableCost: more than any owner with slots, less than
// an unreachable one.
func loadCost(load exchange.Load) float64 {
	if load.Slots <= 0 {
		return unreachableCost / 2
	}
	return (float64(load.Busy) + float64(load.Queued)) / float64(load.Slots)
}

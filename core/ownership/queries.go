package ownership

import (
	"slices"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// snapshot is an immutable copy of the state that queries read.
type snapshot struct {
	view   member.View
	orders map[fleet.Resource][]candidate
	held   []fleet.Resource
	// yieldedTo holds, for each resource that this instance yielded, the member that
	// may claim it.
	yieldedTo map[fleet.Resource]fleet.Member
}

// View is an immutable copy of the ownership; queries on it are safe for concurrent
// use.
type View struct{ snapshot *snapshot }

// View returns the current state as an immutable value. It copies the state only if
// it changed since the last call.
func (s *State) View() View {
	if s.snapshot != nil {
		return View{snapshot: s.snapshot}
	}
	if s.ordersStale || s.orders == nil {
		s.ordersStale = false
		s.orders = make(map[fleet.Resource][]candidate, len(s.sortedResources))
		for _, r := range s.sortedResources {
			s.orders[r.Resource] = r.order
		}
	}
	s.snapshot = &snapshot{view: s.view, orders: s.orders, yieldedTo: make(map[fleet.Resource]fleet.Member)}
	for _, r := range s.sortedResources {
		if r.state == held {
			s.snapshot.held = append(s.snapshot.held, r.Resource)
		}
		if !r.holdOffUntil.IsZero() && !r.yieldedTo.IsZero() {
			s.snapshot.yieldedTo[r.Resource] = r.yieldedTo
		}
	}
	return View{snapshot: s.snapshot}
}

// Holds reports whether this instance may send new work to the resource. It is
// false if leaseValid, the validity of this instance's lease, is false.
func (v View) Holds(resource fleet.Resource, leaseValid bool) bool {
	if !leaseValid {
		return false
	}
	_, found := slices.BinarySearch(v.snapshot.held, resource)
	return found
}

// HeldResources returns the resources for which Holds is true, sorted by name. The
// slice is shared and must not be modified.
func (v View) HeldResources(leaseValid bool) []fleet.Resource {
	if !leaseValid {
		return nil
	}
	return v.snapshot.held
}

// ExpectedOwner returns the member that is expected to hold the resource. It returns
// false if the resource is not wanted or no member is eligible.
func (v View) ExpectedOwner(resource fleet.Resource) (member.Record, bool) {
	if _, found := slices.BinarySearch(v.snapshot.held, resource); found {
		return v.snapshot.view.Self().Record, true
	}
	if m, ok := v.snapshot.yieldedTo[resource]; ok {
		info, known := v.snapshot.view.Lookup(m)
		return info.Record, known
	}
	for _, c := range v.snapshot.orders[resource] {
		info, known := v.snapshot.view.Lookup(c.member)
		if known && info.Status == member.Active {
			return info.Record, true
		}
	}
	return member.Record{}, false
}

// Candidates returns the first candidates of a resource by rank, joining and leaving
// ones included. It is empty if the resource is not wanted.
func (v View) Candidates(resource fleet.Resource) []member.Record {
	var records []member.Record
	for _, c := range v.snapshot.orders[resource] {
		if info, known := v.snapshot.view.Lookup(c.member); known && !info.Status.Ended() {
			records = append(records, info.Record)
		}
	}
	return records
}

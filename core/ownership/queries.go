package ownership

import (
	"slices"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// snapshot is an immutable copy of what queries read.
type snapshot struct {
	members member.View
	orders  map[fleet.Resource][]slot
	held    []fleet.Resource
	// yielded names who may hold a resource that this instance gave up.
	yielded map[fleet.Resource]fleet.Member
}

// View is an immutable value; queries on it are safe for concurrent use.
type View struct{ state *snapshot }

// View returns the current state as an immutable value. It is cheap when
// nothing changed since the last call.
func (s *State) View() View {
	if s.snapshot != nil {
		return View{state: s.snapshot}
	}
	if s.ordersStale || s.orders == nil {
		s.ordersStale = false
		s.orders = make(map[fleet.Resource][]slot, len(s.sorted))
		for _, r := range s.sorted {
			s.orders[r.Resource] = r.order
		}
	}
	s.snapshot = &snapshot{members: s.members, orders: s.orders, yielded: make(map[fleet.Resource]fleet.Member)}
	for _, r := range s.sorted {
		if r.hold == held {
			s.snapshot.held = append(s.snapshot.held, r.Resource)
		}
		if !r.holdOff.IsZero() && !r.yieldedTo.IsZero() {
			s.snapshot.yielded[r.Resource] = r.yieldedTo
		}
	}
	return View{state: s.snapshot}
}

// Holds reports whether this instance may send new work to the resource. Lease
// says whether its lease is valid.
func (v View) Holds(resource fleet.Resource, lease bool) bool {
	if !lease {
		return false
	}
	_, found := slices.BinarySearch(v.state.held, resource)
	return found
}

// HeldResources returns the resources that Holds reports, in order of name. The slice is
// shared and must not be modified.
func (v View) HeldResources(lease bool) []fleet.Resource {
	if !lease {
		return nil
	}
	return v.state.held
}

// ExpectedOwner returns the member that is expected to hold the resource. It reports
// false if the resource is not wanted or nobody is eligible.
func (v View) ExpectedOwner(resource fleet.Resource) (member.Record, bool) {
	if _, found := slices.BinarySearch(v.state.held, resource); found {
		return v.state.members.Self().Record, true
	}
	if m, ok := v.state.yielded[resource]; ok {
		info, known := v.state.members.Lookup(m)
		return info.Record, known
	}
	for _, p := range v.state.orders[resource] {
		info, known := v.state.members.Lookup(p.member)
		if known && info.Status == member.Active {
			return info.Record, true
		}
	}
	return member.Record{}, false
}

// Candidates returns the first candidates of a resource in order, joining and
// leaving ones included. It is empty if the resource is not wanted.
func (v View) Candidates(resource fleet.Resource) []member.Record {
	var records []member.Record
	for _, p := range v.state.orders[resource] {
		if info, known := v.state.members.Lookup(p.member); known && !info.Status.Ended() {
			records = append(records, info.Record)
		}
	}
	return records
}

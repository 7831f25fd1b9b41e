package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// slot is a candidate's place in the order of one resource.
type slot struct {
	member fleet.Member
	local  bool
	score  uint64
}

// before reports whether a comes before b: members of the resource's failure
// domain first, then by rendezvous score.
func (a slot) before(b slot) bool {
	switch {
	case a.local != b.local:
		return a.local
	case a.score != b.score:
		return a.score > b.score
	default:
		return a.member.Compare(b.member) < 0
	}
}

// rate returns the slot of a member for a resource.
func (r *resource) rate(m fleet.Member, domain fleet.Domain) slot {
	return slot{
		member: m,
		local:  r.Domain != "" && r.Domain == domain,
		score:  fleet.RendezvousScore(m.ID, r.Resource),
	}
}

// roster holds the members that are asked: all that have not ended. Joining ones
// are among them because other instances may know them as active already.
type roster struct {
	domains  map[fleet.Member]fleet.Domain
	byDomain map[fleet.Domain][]fleet.Member
	// passive members are asked but claim nothing: joining and leaving ones.
	passive map[fleet.Member]bool
}

func newRoster(members []member.Info) roster {
	t := roster{
		domains:  make(map[fleet.Member]fleet.Domain, len(members)),
		byDomain: make(map[fleet.Domain][]fleet.Member),
		passive:  make(map[fleet.Member]bool),
	}
	for _, info := range members {
		if !info.Status.Ended() {
			t.domains[info.Member] = info.Domain
			t.byDomain[info.Domain] = append(t.byDomain[info.Domain], info.Member)
			if info.Status != member.Active {
				t.passive[info.Member] = true
			}
		}
	}
	return t
}

// missing returns the members of t that other lacks.
func (t roster) missing(other roster) []fleet.Member {
	var result []fleet.Member
	for m := range t.domains {
		if _, ok := other.domains[m]; !ok {
			result = append(result, m)
		}
	}
	slices.SortFunc(result, fleet.Member.Compare)
	return result
}

// insertSlot puts a slot in its place in an order of at most orderLength; it
// modifies the order.
func insertSlot(order []slot, n slot) []slot {
	if len(order) == orderLength && !n.before(order[orderLength-1]) {
		return order
	}
	if len(order) < orderLength {
		order = append(order, n)
	}
	at := len(order) - 1
	for at > 0 && n.before(order[at-1]) {
		order[at] = order[at-1]
		at--
	}
	order[at] = n
	return order
}

// computeOrder ranks all candidates. Other failure domains are ranked only if
// the resource's own does not fill the order.
func (s *State) computeOrder(r *resource) []slot {
	order := make([]slot, 0, orderLength+1)
	if r.Domain != "" {
		for _, m := range s.live.byDomain[r.Domain] {
			order = insertSlot(order, r.rate(m, r.Domain))
		}
		if len(order) == orderLength {
			return order
		}
	}
	for domain, members := range s.live.byDomain {
		if r.Domain != "" && domain == r.Domain {
			continue
		}
		for _, m := range members {
			order = insertSlot(order, r.rate(m, domain))
		}
	}
	return order
}

// updateOrder applies joins and departures to the order of a resource. Orders
// are shared with views, so a changed one is a new slice.
func (s *State) updateOrder(r *resource, before int, joined, gone []fleet.Member) {
	complete := len(r.order) == before
	order := slices.Clone(r.order)
	order = slices.DeleteFunc(order, func(p slot) bool { return slices.Contains(gone, p.member) })
	if len(order) == 0 || len(order) < min(orderMinimum, len(s.live.domains)) && !complete {
		r.order = s.computeOrder(r)
		return
	}
	for _, m := range joined {
		place := r.rate(m, s.live.domains[m])
		// Behind the end of an incomplete order others may come first.
		if complete || place.before(order[len(order)-1]) {
			order = insertSlot(order, place)
		}
	}
	r.order = order
}

// affected reports whether the changes can alter the order of a resource.
func (r *resource) affected(before int, places []slot, gone []fleet.Member) bool {
	if len(r.order) < orderLength && len(r.order) == before {
		return true
	}
	last := r.order[len(r.order)-1]
	for _, place := range places {
		if place.before(last) {
			return true
		}
	}
	return slices.ContainsFunc(r.order, func(p slot) bool { return slices.Contains(gone, p.member) })
}

// rank updates the orders of all wanted resources after a change of members.
func (s *State) rank(previous roster) {
	joined, gone := s.live.missing(previous), previous.missing(s.live)
	if len(joined) == 0 && len(gone) == 0 {
		return
	}
	before := len(previous.domains)
	var places []slot
	for _, r := range s.sorted {
		if len(joined) > before || len(r.order) == 0 {
			r.order = s.computeOrder(r)
			continue
		}
		places = places[:0]
		for _, m := range joined {
			places = append(places, r.rate(m, s.live.domains[m]))
		}
		if r.affected(before, places, gone) {
			s.updateOrder(r, before, joined, gone)
		}
	}
	s.ordersStale = true
}

// status returns a member's status; false if it is unknown.
func (s *State) status(m fleet.Member) (member.Status, bool) {
	info, ok := s.members.Lookup(m)
	return info.Status, ok
}

// ended reports whether a member is known to have left or been fenced, or has
// been forgotten since.
func (s *State) ended(m fleet.Member) bool {
	status, ok := s.status(m)
	return !ok || status.Ended()
}

// first reports whether this instance comes first among the active members that
// have not given the resource up to it.
func (s *State) first(r *resource) bool {
	for _, p := range r.order {
		if p.member == s.self.Member {
			return true
		}
		if !s.live.passive[p.member] && !slices.Contains(r.yielders, p.member) {
			return false
		}
	}
	return false
}

// asked returns the members whose consent a claim needs: the first few other
// candidates and everyone who may hold the resource.
func (s *State) asked(r *resource) []fleet.Member {
	result := make([]fleet.Member, 0, s.options.ConsentCount+maxClaimants)
	for _, p := range r.order {
		if len(result) == s.options.ConsentCount {
			break
		}
		if p.member != s.self.Member {
			result = append(result, p.member)
		}
	}
	for _, m := range r.claimants {
		if m != s.self.Member {
			result = add(result, m)
		}
	}
	for _, m := range s.elders(r) {
		result = add(result, m)
	}
	for _, a := range r.answers {
		for _, m := range a.needs {
			if m != s.self.Member {
				result = add(result, m)
			}
		}
	}
	return result
}

// elders returns the first candidates that were active before this instance,
// unless it was told of a holder. If more instances join at once than a claim
// asks, none of those asked may know the holder; the elders do, or know whom
// to ask before them.
func (s *State) elders(r *resource) []fleet.Member {
	if r.informed {
		return nil
	}
	generation := s.members.Generation()
	if r.elders.generation == generation {
		return r.elders.members
	}
	var first []slot
	for _, info := range s.members.Members() {
		active := info.Status == member.Active || info.Status == member.Leaving
		older := s.self.ActiveSince.IsZero() || info.ActiveSince.Before(s.self.ActiveSince)
		if active && older && info.Member != s.self.Member {
			first = insertSlot(first, r.rate(info.Member, info.Domain))
		}
	}
	r.elders = elders{generation: generation}
	for _, p := range first[:min(len(first), s.options.ConsentCount)] {
		r.elders.members = append(r.elders.members, p.member)
	}
	return r.elders.members
}

// fencedUntil returns until when work of fenced members may still be running,
// for those that would have been asked.
func (s *State) fencedUntil(r *resource) time.Time {
	var until time.Time
	if len(s.fenced) == 0 {
		return until
	}
	last, all := s.lastAsked(r)
	for _, info := range s.fenced {
		end := info.EndedAt.Add(s.wait(r))
		if end.After(until) && (all || r.rate(info.Member, info.Domain).before(last)) {
			until = end
		}
	}
	return until
}

// lastAsked returns the place of the last candidate that is asked; all is true
// if there are so few that every candidate is.
func (s *State) lastAsked(r *resource) (last slot, all bool) {
	others := 0
	for _, p := range r.order {
		if p.member == s.self.Member {
			continue
		}
		others++
		if others == s.options.ConsentCount {
			return p, false
		}
	}
	return slot{}, true
}

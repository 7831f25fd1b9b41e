package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// candidate is a member with its rank for one resource.
type candidate struct {
	member fleet.Member
	local  bool
	score  uint64
}

// ranksBefore reports whether a comes before b: members of the resource's failure
// domain first, then by rendezvous score.
func (a candidate) ranksBefore(b candidate) bool {
	switch {
	case a.local != b.local:
		return a.local
	case a.score != b.score:
		return a.score > b.score
	default:
		return a.member.Compare(b.member) < 0
	}
}

// newCandidate returns a member, which is in the given failure domain, as a candidate
// for the resource.
func (r *resource) newCandidate(m fleet.Member, domain fleet.Domain) candidate {
	return candidate{
		member: m,
		local:  r.Domain != "" && r.Domain == domain,
		score:  fleet.RendezvousScore(m.ID, r.Resource),
	}
}

// candidateSet holds the members whose consent may be required: all that have not
// ended. Joining members are included because other instances may have them as
// active already.
type candidateSet struct {
	domains  map[fleet.Member]fleet.Domain
	byDomain map[fleet.Domain][]fleet.Member
	// passive holds the joining and leaving members, which consent but do not claim.
	passive map[fleet.Member]bool
}

func newCandidateSet(members []member.Info) candidateSet {
	set := candidateSet{
		domains:  make(map[fleet.Member]fleet.Domain, len(members)),
		byDomain: make(map[fleet.Domain][]fleet.Member),
		passive:  make(map[fleet.Member]bool),
	}
	for _, info := range members {
		if !info.Status.Ended() {
			set.domains[info.Member] = info.Domain
			set.byDomain[info.Domain] = append(set.byDomain[info.Domain], info.Member)
			if info.Status != member.Active {
				set.passive[info.Member] = true
			}
		}
	}
	return set
}

// without returns the sorted members of the set that are not in other.
func (set candidateSet) without(other candidateSet) []fleet.Member {
	var result []fleet.Member
	for m := range set.domains {
		if _, ok := other.domains[m]; !ok {
			result = append(result, m)
		}
	}
	slices.SortFunc(result, fleet.Member.Compare)
	return result
}

// insertCandidate inserts a candidate by rank into an order of at most
// maxOrderLength. It modifies the order.
func insertCandidate(order []candidate, added candidate) []candidate {
	if len(order) == maxOrderLength && !added.ranksBefore(order[maxOrderLength-1]) {
		return order
	}
	if len(order) < maxOrderLength {
		order = append(order, added)
	}
	at := len(order) - 1
	for at > 0 && added.ranksBefore(order[at-1]) {
		order[at] = order[at-1]
		at--
	}
	order[at] = added
	return order
}

// computeOrder ranks the candidates for a resource. It considers other failure
// domains only if the resource's own does not fill the order.
func (s *State) computeOrder(r *resource) []candidate {
	order := make([]candidate, 0, maxOrderLength+1)
	if r.Domain != "" {
		for _, m := range s.candidates.byDomain[r.Domain] {
			order = insertCandidate(order, r.newCandidate(m, r.Domain))
		}
		if len(order) == maxOrderLength {
			return order
		}
	}
	for domain, members := range s.candidates.byDomain {
		if r.Domain != "" && domain == r.Domain {
			continue
		}
		for _, m := range members {
			order = insertCandidate(order, r.newCandidate(m, domain))
		}
	}
	return order
}

// updateOrder applies joins and departures to the order of a resource. Orders
// are shared with views, so a changed one is a new slice.
func (s *State) updateOrder(r *resource, previousCount int, joined, removed []fleet.Member) {
	complete := len(r.order) == previousCount
	order := slices.Clone(r.order)
	order = slices.DeleteFunc(order, func(c candidate) bool { return slices.Contains(removed, c.member) })
	if len(order) == 0 || len(order) < min(minOrderLength, len(s.candidates.domains)) && !complete {
		r.order = s.computeOrder(r)
		return
	}
	for _, m := range joined {
		added := r.newCandidate(m, s.candidates.domains[m])
		// An incomplete order omits candidates, which may rank before one that ranks
		// after the end of the order.
		if complete || added.ranksBefore(order[len(order)-1]) {
			order = insertCandidate(order, added)
		}
	}
	r.order = order
}

// isAffected reports whether joined and removed members can change the order of a
// resource. PreviousCount is the number of members before the change.
func (r *resource) isAffected(previousCount int, joined []candidate, removed []fleet.Member) bool {
	if len(r.order) < maxOrderLength && len(r.order) == previousCount {
		return true
	}
	last := r.order[len(r.order)-1]
	for _, added := range joined {
		if added.ranksBefore(last) {
			return true
		}
	}
	return slices.ContainsFunc(r.order, func(c candidate) bool { return slices.Contains(removed, c.member) })
}

// updateOrders updates the orders of all resources after a change of the members.
func (s *State) updateOrders(previous candidateSet) {
	joined, removed := s.candidates.without(previous), previous.without(s.candidates)
	if len(joined) == 0 && len(removed) == 0 {
		return
	}
	previousCount := len(previous.domains)
	var joinedCandidates []candidate
	for _, r := range s.sortedResources {
		if len(joined) > previousCount || len(r.order) == 0 {
			r.order = s.computeOrder(r)
			continue
		}
		joinedCandidates = joinedCandidates[:0]
		for _, m := range joined {
			joinedCandidates = append(joinedCandidates, r.newCandidate(m, s.candidates.domains[m]))
		}
		if r.isAffected(previousCount, joinedCandidates, removed) {
			s.updateOrder(r, previousCount, joined, removed)
		}
	}
	s.ordersStale = true
}

// memberStatus returns a member's status; false if it is unknown.
func (s *State) memberStatus(m fleet.Member) (member.Status, bool) {
	info, ok := s.view.Lookup(m)
	return info.Status, ok
}

// hasEnded reports whether a member has left or was fenced, or is unknown, for
// example because its record was dropped after its end.
func (s *State) hasEnded(m fleet.Member) bool {
	status, ok := s.memberStatus(m)
	return !ok || status.Ended()
}

// ranksFirst reports whether this instance ranks first among the active members that
// have not yielded the resource to it.
func (s *State) ranksFirst(r *resource) bool {
	for _, c := range r.order {
		if c.member == s.self.Member {
			return true
		}
		if !s.candidates.passive[c.member] && !slices.Contains(r.yieldedBy, c.member) {
			return false
		}
	}
	return false
}

// requiredConsents returns the members whose consent a claim requires: the first
// ConsentCount other candidates and all possible holders.
func (s *State) requiredConsents(r *resource) []fleet.Member {
	result := make([]fleet.Member, 0, s.options.ConsentCount+maxPossibleHolders)
	for _, c := range r.order {
		if len(result) == s.options.ConsentCount {
			break
		}
		if c.member != s.self.Member {
			result = append(result, c.member)
		}
	}
	for _, m := range r.possibleHolders {
		if m != s.self.Member {
			result = addMember(result, m)
		}
	}
	for _, m := range s.earlierCandidates(r) {
		result = addMember(result, m)
	}
	for _, consented := range r.consents {
		for _, m := range consented.possibleHolders {
			if m != s.self.Member {
				result = addMember(result, m)
			}
		}
	}
	return result
}

// earlierCandidates returns the first candidates that were active before this
// instance, or nil if it knows of a holder. If more than ConsentCount instances join
// at once, the first candidates may all be new and not know the holder. The earlier
// candidates know it or list candidates that are earlier still.
func (s *State) earlierCandidates(r *resource) []fleet.Member {
	if r.knowsHolder {
		return nil
	}
	generation := s.view.Generation()
	if r.earlierCandidates.generation == generation {
		return r.earlierCandidates.members
	}
	var first []candidate
	for _, info := range s.view.Members() {
		active := info.Status == member.Active || info.Status == member.Leaving
		activeEarlier := s.self.ActiveSince.IsZero() || info.ActiveSince.Before(s.self.ActiveSince)
		if active && activeEarlier && info.Member != s.self.Member {
			first = insertCandidate(first, r.newCandidate(info.Member, info.Domain))
		}
	}
	r.earlierCandidates = earlierCandidates{generation: generation}
	for _, c := range first[:min(len(first), s.options.ConsentCount)] {
		r.earlierCandidates.members = append(r.earlierCandidates.members, c.member)
	}
	return r.earlierCandidates.members
}

// fencedUntil returns the time until which work of recently fenced members may
// still be running. It considers only members whose consent would have been
// required.
func (s *State) fencedUntil(r *resource) time.Time {
	var until time.Time
	if len(s.recentlyFenced) == 0 {
		return until
	}
	last, all := s.lastRequired(r)
	for _, info := range s.recentlyFenced {
		end := info.EndedAt.Add(s.fenceWait(r))
		if end.After(until) && (all || r.newCandidate(info.Member, info.Domain).ranksBefore(last)) {
			until = end
		}
	}
	return until
}

// lastRequired returns the last of the candidates whose consent is required. All is
// true if there are so few candidates that every consent is.
func (s *State) lastRequired(r *resource) (last candidate, all bool) {
	others := 0
	for _, c := range r.order {
		if c.member == s.self.Member {
			continue
		}
		others++
		if others == s.options.ConsentCount {
			return c, false
		}
	}
	return candidate{}, true
}

package member

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// applyLastResort handles members that the platform has dropped, or that have
// a newer incarnation, and whose witnesses are lost together with them.
func (s *State) applyLastResort(now time.Time, effects *Effects) {
	if now.Before(s.resortDue) {
		return
	}
	s.resortDue = now.Add(fenceRetry)
	for _, e := range s.sorted {
		if e == s.self || e.Status.Ended() {
			continue
		}
		since, dead := s.presumedDead(e)
		if !dead || now.Sub(since) < dropAfter || !s.observes(e, now.Sub(since)) {
			e.witnessing.unreachable = nil
			continue
		}
		s.resort(now, e, effects)
	}
}

// presumedDead returns since when the listing lacks the member, or since when a
// newer incarnation of its id has been active.
func (s *State) presumedDead(e *entry) (since time.Time, dead bool) {
	if since, dropped := s.contacts.missing(e); dropped {
		return since, true
	}
	first, _ := slices.BinarySearchFunc(s.sorted, fleet.Member{ID: e.Member.ID}, compareEntry)
	for _, other := range s.sorted[first:] {
		if other.Member.ID != e.Member.ID {
			break
		}
		if other == e || other.Status.Ended() {
			continue
		}
		newer := other.FirstSeen.After(e.FirstSeen) || other == s.self
		if newer && !other.ActiveSince.IsZero() {
			return other.ActiveSince, true
		}
	}
	return time.Time{}, false
}

// observes reports whether this instance is one of the few that apply the last
// resort to the target. Their number grows with time, since the first ones may
// not have read the listing that dropped it.
func (s *State) observes(target *entry, waited time.Duration) bool {
	resource := fleet.Resource("fence/" + string(target.Member.ID))
	var observers []*entry
	for _, e := range s.sorted {
		if e == s.self {
			observers = append(observers, e)
			continue
		}
		if _, dead := s.presumedDead(e); e.Status == Active && !dead && e.Member.ID != target.Member.ID {
			observers = append(observers, e)
		}
	}
	slices.SortFunc(observers, func(a, b *entry) int {
		return cmp.Compare(fleet.RendezvousScore(b.Member.ID, resource), fleet.RendezvousScore(a.Member.ID, resource))
	})
	return slices.Index(observers, s.self) < resortObservers*int(waited/dropAfter)
}

// resort fences the target if neither it nor a majority of its witnesses
// answered the previous round, and starts another round otherwise.
func (s *State) resort(now time.Time, target *entry, effects *Effects) {
	gone := 0
	for _, w := range target.Witnesses {
		witness := s.acting(w)
		if witness == nil || witness == target || slices.Contains(target.witnessing.unreachable, witness.Member) {
			gone++
		}
	}
	silent := slices.Contains(target.witnessing.unreachable, target.Member)
	if silent && len(target.Witnesses)-gone < majority(len(target.Witnesses)) {
		s.fence(now, target, effects)
		return
	}
	s.askVote(target, target, effects)
	s.askVotes(target, effects)
}

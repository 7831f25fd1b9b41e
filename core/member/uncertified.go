package member

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// applyUncertifiedFencing fences members without a certificate if the platform's listing
// lacks them, or they have a newer active incarnation, and a majority of their
// witnesses failed together with them.
func (s *State) applyUncertifiedFencing(now time.Time, effects *Effects) {
	if now.Before(s.uncertifiedFencingDue) {
		return
	}
	s.uncertifiedFencingDue = now.Add(fenceRoundInterval)
	for _, e := range s.sortedEntries {
		if e == s.self || e.Status.Ended() {
			continue
		}
		since, dead := s.presumedDead(e)
		if !dead || now.Sub(since) < uncertifiedFencingDelay || !s.isFencingObserver(e, now.Sub(since)) {
			e.subject.unreachable = nil
			continue
		}
		s.fenceIfUnreachable(now, e, effects)
	}
}

// presumedDead returns the time since which the listing lacks the member or a
// newer incarnation of its id has been active; dead is false if neither is the
// case.
func (s *State) presumedDead(e *entry) (since time.Time, dead bool) {
	if since, dropped := s.discovery.missingSince(e); dropped {
		return since, true
	}
	first, _ := slices.BinarySearchFunc(s.sortedEntries, fleet.Member{ID: e.Member.ID}, compareEntry)
	for _, other := range s.sortedEntries[first:] {
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

// isFencingObserver reports whether this instance is one of the few that may
// fence the target without a certificate. Their number grows with the time waited,
// since the first ones may not have read the listing that dropped the target.
func (s *State) isFencingObserver(target *entry, waited time.Duration) bool {
	resource := fleet.Resource("fence/" + string(target.Member.ID))
	var observers []*entry
	for _, e := range s.sortedEntries {
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
	return slices.Index(observers, s.self) < initialFencingObservers*int(waited/uncertifiedFencingDelay)
}

// fenceIfUnreachable fences the target if neither it nor a majority of its witnesses
// replied to the previous round of fence requests. Otherwise it starts another
// round.
func (s *State) fenceIfUnreachable(now time.Time, target *entry, effects *Effects) {
	lostWitnesses := 0
	for _, w := range target.Witnesses {
		witness := s.actingEntry(w)
		if witness == nil || witness == target || slices.Contains(target.subject.unreachable, witness.Member) {
			lostWitnesses++
		}
	}
	targetUnreachable := slices.Contains(target.subject.unreachable, target.Member)
	if targetUnreachable && len(target.Witnesses)-lostWitnesses < majority(len(target.Witnesses)) {
		s.markFenced(now, target, effects)
		return
	}
	s.requestVote(target, target, effects)
	s.requestVotes(target, effects)
}

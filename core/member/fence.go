package member

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// voteAfter is the silence after which a witness may vote.
func (s *State) voteAfter() time.Duration { return s.options.LeaseTime + voteMargin }

// mayVote reports whether this instance may vote to fence e. A vote is final.
func (s *State) mayVote(now time.Time, e *entry) bool {
	if e.witnessing.voted {
		return true
	}
	silent := now.Sub(e.witnessing.lastAck) > s.voteAfter()
	return s.isWitness(e) && !e.witnessing.lastAck.IsZero() && silent && s.self.Status != Left
}

// startRounds asks the other witnesses of silent members for their votes. The
// first witness in the record starts first. It votes last, so that a path that
// is broken for this instance alone costs the member no witness.
func (s *State) startRounds(now time.Time, effects *Effects) {
	for _, e := range s.sorted {
		if e.Status.Ended() || !s.isWitness(e) || now.Before(e.witnessing.roundDue) {
			continue
		}
		rank := time.Duration(slices.Index(e.Witnesses, s.self.Member))
		silence := now.Sub(e.witnessing.lastAck)
		if silence <= s.voteAfter()+rank*fenceStagger {
			continue
		}
		e.witnessing.roundDue = now.Add(fenceRetry)
		s.askVotes(e, effects)
		s.certify(now, e, effects)
	}
}

func (s *State) askVotes(target *entry, effects *Effects) {
	for _, w := range target.Witnesses {
		if w == s.self.Member || w == target.Member || s.ended(w) || slices.Contains(target.witnessing.granted, w) {
			continue
		}
		s.askVote(target, s.entries[w], effects)
	}
}

func (s *State) askVote(target, witness *entry, effects *Effects) {
	message := FenceRequest{From: s.self.Member, Target: target.Member, Panel: target.Panel}
	to := Peer{Member: witness.Member, Address: witness.Peer}
	effects.Fences = append(effects.Fences, FenceOut{To: to, Message: message})
}

// certify fences the member if its newest panel has voted by majority.
func (s *State) certify(now time.Time, e *entry, effects *Effects) {
	if e.Status.Ended() || e.Panel == 0 {
		return
	}
	votes := 0
	for _, w := range e.Witnesses {
		switch {
		case w == s.self.Member && e.witnessing.seenPanel <= e.Panel && s.mayVote(now, e):
			votes++
		case slices.Contains(e.witnessing.granted, w):
			votes++
		}
	}
	if votes < majority(len(e.Witnesses)) {
		return
	}
	e.witnessing.voted = true
	s.fence(now, e, effects)
}

func (s *State) fence(now time.Time, e *entry, effects *Effects) {
	record := e.Record
	record.Status = Fenced
	s.replace(now, e, record, effects)
}

// vote answers a fence request about e.
func (s *State) vote(now time.Time, e *entry, asked Panel) bool {
	if e == s.self || e.Status.Ended() || max(e.Panel, e.witnessing.seenPanel) > asked {
		return false
	}
	if !s.mayVote(now, e) {
		return false
	}
	e.witnessing.voted = true
	return true
}

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
		if !s.presumedDead(now, e) || !s.observes(now, e) {
			e.witnessing.unreachable = nil
			continue
		}
		s.resort(now, e, effects)
	}
}

// presumedDead reports whether the platform has dropped the member for long
// enough, or a newer incarnation of its id has been active for as long.
func (s *State) presumedDead(now time.Time, e *entry) bool {
	if dropped, ok := s.contacts.dropped[e.Member.ID]; ok && now.Sub(dropped) >= dropAfter {
		return true
	}
	for _, other := range s.sorted {
		if other.Member.ID != e.Member.ID || other == e || other.Status.Ended() {
			continue
		}
		newer := other.FirstSeen.After(e.FirstSeen) || other == s.self
		if newer && !other.ActiveSince.IsZero() && now.Sub(other.ActiveSince) >= dropAfter {
			return true
		}
	}
	return false
}

// observes reports whether this instance is one of the few that apply the last
// resort to the target.
func (s *State) observes(now time.Time, target *entry) bool {
	resource := fleet.Resource("fence/" + string(target.Member.ID))
	var observers []*entry
	for _, e := range s.sorted {
		if e.Status.Ended() || e.Member.ID == target.Member.ID && e != s.self {
			continue
		}
		if e == s.self || e.Status == Active && !s.presumedDead(now, e) {
			observers = append(observers, e)
		}
	}
	slices.SortFunc(observers, func(a, b *entry) int {
		return cmp.Compare(fleet.Score(b.Member.ID, resource), fleet.Score(a.Member.ID, resource))
	})
	return slices.Index(observers, s.self) < resortObservers
}

// resort fences the target if neither it nor a majority of its witnesses
// answered the previous round, and starts another round otherwise.
func (s *State) resort(now time.Time, target *entry, effects *Effects) {
	gone := 0
	for _, w := range target.Witnesses {
		lost := s.ended(w) || slices.Contains(target.witnessing.unreachable, w)
		if w == target.Member || w != s.self.Member && lost {
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

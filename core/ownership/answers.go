package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// answerClaim returns the answers to a claim of one resource. A held resource starts
// draining unless this instance outranks the claimant.
func (s *State) answerClaim(now time.Time, r *resource, claimant member.Record, effects *Effects) []Answer {
	r.removeConsent(claimant.Member)
	r.yieldedBy = removeMember(r.yieldedBy, claimant.Member)
	if s.outranks(now, r, claimant) {
		// The claimant may hold the resource, so its consent is required later.
		if r.state == notHeld {
			r.addPossibleHolder(claimant.Member)
		}
		return []Answer{{Resource: r.Resource, Verdict: Outranked, Holder: s.self.Record}}
	}
	if r.state != notHeld {
		s.startDraining(r, effects)
		r.addPossibleHolder(claimant.Member)
		return []Answer{{Resource: r.Resource, Verdict: Draining}}
	}
	answers := s.listPossibleHolders(r, claimant)
	r.addPossibleHolder(claimant.Member)
	r.abandonClaim(now)
	if len(answers) == 0 {
		return []Answer{{Resource: r.Resource, Verdict: Free}}
	}
	return answers
}

// listPossibleHolders returns an answer for each other member that may hold the
// resource. If this instance never received the announcement of a holder, these
// include the candidates that were active before it.
func (s *State) listPossibleHolders(r *resource, claimant member.Record) []Answer {
	var answers []Answer
	claimantRank := r.newCandidate(claimant.Member, claimant.Domain)
	possibleHolders := slices.Clone(r.possibleHolders)
	for _, m := range s.earlierCandidates(r) {
		possibleHolders = addMember(possibleHolders, m)
	}
	for _, m := range possibleHolders {
		info, known := s.view.Lookup(m)
		if m == claimant.Member || m == s.self.Member || !known || info.Status.Ended() {
			continue
		}
		verdict := Held
		if info.Status == member.Active && r.newCandidate(m, info.Domain).ranksBefore(claimantRank) {
			verdict = Outranked
		}
		answers = append(answers, Answer{Resource: r.Resource, Verdict: verdict, Holder: info.Record})
	}
	return answers
}

// outranks reports whether this instance may claim the resource and ranks before
// the claimant.
func (s *State) outranks(now time.Time, r *resource, claimant member.Record) bool {
	if !r.wanted || s.self.Status != member.Active || now.Before(r.holdOffUntil) {
		return false
	}
	return r.newCandidate(s.self.Member, s.self.Domain).ranksBefore(r.newCandidate(claimant.Member, claimant.Domain))
}

// startDraining stops new work for the resource if it is held.
func (s *State) startDraining(r *resource, effects *Effects) {
	if r.state != held {
		return
	}
	r.state = draining
	s.invalidate()
	effects.Drain = append(effects.Drain, r.Resource)
}

// recordHolder processes the announcement of a holder. If this instance holds the
// resource as well, the lower-ranked of the two stops.
func (s *State) recordHolder(now time.Time, r *resource, holder member.Record, effects *Effects) {
	r.removeConsent(holder.Member)
	if r.state == held && !s.outranks(now, r, holder) {
		s.startDraining(r, effects)
	}
	if r.state != held {
		r.possibleHolders = []fleet.Member{holder.Member}
		r.knowsHolder = true
	}
}

// recordYield allows this instance to claim a resource although the sender ranks
// before it.
func (s *State) recordYield(r *resource, from fleet.Member) {
	if r.state == notHeld && !slices.Contains(r.yieldedBy, from) {
		r.yieldedBy = append(r.yieldedBy, from)
		s.pendingStale = true
	}
}

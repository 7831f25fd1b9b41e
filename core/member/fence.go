package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// voteAfter is the silence after which a witness may vote.
func (s *State) voteAfter() time.Duration { return s.options.LeaseDuration + voteMargin }

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
		rank := time.Duration(slices.IndexFunc(e.Witnesses, s.isOwn))
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
		witness := s.acting(w)
		if witness == nil || witness == s.self || witness == target || slices.Contains(target.witnessing.granted, w) {
			continue
		}
		s.askVote(target, witness, effects)
	}
}

func (s *State) askVote(target, witness *entry, effects *Effects) {
	message := FenceRequest{From: s.self.Member, Target: target.Member, WitnessSetVersion: target.WitnessSetVersion}
	to := Peer{Member: witness.Member, Address: witness.PeerAddress}
	effects.FenceRequests = append(effects.FenceRequests, OutgoingFenceRequest{To: to, Message: message})
}

// certify fences the member if its newest panel has voted by majority.
func (s *State) certify(now time.Time, e *entry, effects *Effects) {
	if e.Status.Ended() || e.WitnessSetVersion == 0 {
		return
	}
	votes := 0
	for _, w := range e.Witnesses {
		switch {
		case s.isOwn(w) && e.witnessing.seenPanel <= e.WitnessSetVersion && s.mayVote(now, e):
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

// countVote notes a vote for each place in the panel that the voter acts for.
func (s *State) countVote(target *entry, voter fleet.Member) {
	for _, w := range target.Witnesses {
		if e := s.acting(w); w == voter || e != nil && e.Member == voter {
			target.witnessing.granted = add(target.witnessing.granted, w)
		}
	}
}

func (s *State) fence(now time.Time, e *entry, effects *Effects) {
	record := e.Record
	record.Status = Fenced
	s.replace(now, e, record, effects)
}

// vote answers a fence request about e.
func (s *State) vote(now time.Time, e *entry, asked WitnessSetVersion) bool {
	if e == s.self || e.Status.Ended() || max(e.WitnessSetVersion, e.witnessing.seenPanel) > asked {
		return false
	}
	if !s.mayVote(now, e) {
		return false
	}
	e.witnessing.voted = true
	return true
}

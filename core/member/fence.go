package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// voteDelay returns how long a witness must not have acknowledged a member before
// it may vote.
func (s *State) voteDelay() time.Duration { return s.options.LeaseDuration + voteMargin }

// mayVoteToFence reports whether this instance has voted or may vote to fence e.
func (s *State) mayVoteToFence(now time.Time, e *entry) bool {
	if e.subject.votedToFence {
		return true
	}
	silent := now.Sub(e.subject.lastAckAt) > s.voteDelay()
	return s.isWitness(e) && !e.subject.lastAckAt.IsZero() && silent && s.self.Status != Left
}

// startFenceRounds requests votes from the other witnesses of members whose leases
// must have lapsed. Witnesses start their rounds in the order of the record. The
// vote of the instance that starts a round becomes final only if it completes a
// majority, so that a network fault of this instance alone does not cost the member
// a witness.
func (s *State) startFenceRounds(now time.Time, effects *Effects) {
	for _, e := range s.sortedEntries {
		if e.Status.Ended() || !s.isWitness(e) || now.Before(e.subject.fenceRoundDue) {
			continue
		}
		rank := time.Duration(slices.IndexFunc(e.Witnesses, s.isOwnIncarnation))
		silence := now.Sub(e.subject.lastAckAt)
		if silence <= s.voteDelay()+rank*fenceStagger {
			continue
		}
		e.subject.fenceRoundDue = now.Add(fenceRoundInterval)
		s.requestVotes(e, effects)
		s.fenceIfMajority(now, e, effects)
	}
}

func (s *State) requestVotes(target *entry, effects *Effects) {
	for _, w := range target.Witnesses {
		witness := s.actingEntry(w)
		if witness == nil || witness == s.self || witness == target || slices.Contains(target.subject.grantedBy, w) {
			continue
		}
		s.requestVote(target, witness, effects)
	}
}

func (s *State) requestVote(target, witness *entry, effects *Effects) {
	message := FenceRequest{From: s.self.Member, Target: target.Member, WitnessSetVersion: target.WitnessSetVersion}
	to := Peer{Member: witness.Member, Address: witness.PeerAddress}
	effects.FenceRequests = append(effects.FenceRequests, OutgoingFenceRequest{To: to, Message: message})
}

// fenceIfMajority fences the member if a majority of its newest witness set voted
// for it. This instance's own vote becomes final only with that majority.
func (s *State) fenceIfMajority(now time.Time, e *entry, effects *Effects) {
	if e.Status.Ended() || e.WitnessSetVersion == 0 {
		return
	}
	votes := 0
	for _, w := range e.Witnesses {
		switch {
		case s.isOwnIncarnation(w) && e.subject.latestWitnessSetVersion <= e.WitnessSetVersion && s.mayVoteToFence(now, e):
			votes++
		case slices.Contains(e.subject.grantedBy, w):
			votes++
		}
	}
	if votes < majority(len(e.Witnesses)) {
		return
	}
	e.subject.votedToFence = true
	s.markFenced(now, e, effects)
}

// recordVote counts a vote for each witness of the target that the voter acts for.
func (s *State) recordVote(target *entry, voter fleet.Member) {
	for _, w := range target.Witnesses {
		if e := s.actingEntry(w); w == voter || e != nil && e.Member == voter {
			target.subject.grantedBy = addMember(target.subject.grantedBy, w)
		}
	}
}

func (s *State) markFenced(now time.Time, e *entry, effects *Effects) {
	record := e.Record
	record.Status = Fenced
	s.replaceRecord(now, e, record, effects)
}

// grantVote decides on a fence request for e and records the vote if it is granted.
// A request with an outdated version of the witness set is refused.
func (s *State) grantVote(now time.Time, e *entry, requestedVersion WitnessSetVersion) bool {
	if e == s.self || e.Status.Ended() || max(e.WitnessSetVersion, e.subject.latestWitnessSetVersion) > requestedVersion {
		return false
	}
	if !s.mayVoteToFence(now, e) {
		return false
	}
	e.subject.votedToFence = true
	return true
}

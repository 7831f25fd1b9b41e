package member

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// isChangingWitnesses reports whether a proposed witness set is not committed yet.
func (s *State) isChangingWitnesses() bool { return s.proposed.version != s.committed.version }

// maintainWitnesses replaces failed witnesses and adds better ones. A new witness
// set is proposed only once all of its members and a majority of the old set
// acknowledge, so that the change does not interrupt the lease.
func (s *State) maintainWitnesses(now time.Time, effects *Effects) {
	if s.isChangingWitnesses() || !s.discovery.bootstrapped || s.self.Status == Left {
		s.prospectiveWitnesses = nil
		return
	}
	if now.Before(s.witnessReviewDue) && len(s.prospectiveWitnesses) == 0 {
		return
	}
	s.witnessReviewDue = now.Add(witnessReviewInterval)
	s.prospectiveWitnesses = nil
	wanted := s.chooseWitnesses(now)
	if len(wanted) == 0 || slices.Equal(wanted, s.committed.witnesses) {
		return
	}
	s.prospectiveWitnesses = wanted
	if !s.allRecentlyAcked(now, wanted) || s.leaseEnd(wanted).Before(s.leaseUntil) {
		return
	}
	if s.committed.version > 0 && !s.leaseEnd(s.committed.witnesses).After(now) {
		return
	}
	s.proposeWitnesses(now, wanted, effects)
}

func (s *State) proposeWitnesses(now time.Time, witnesses []fleet.Member, effects *Effects) {
	s.proposed = witnessSet{version: s.committed.version + 1, witnesses: witnesses}
	s.prospectiveWitnesses = nil
	record := s.self.Record
	record.WitnessSetVersion, record.Witnesses = s.proposed.version, s.proposed.witnesses
	s.replaceRecord(now, s.self, record, effects)
	s.heartbeatNow = true
	s.commitWitnesses()
}

// commitWitnesses commits the proposed witness set once a majority of the old set
// has acknowledged its version. From then on no certificate from the old set is
// possible, since these witnesses refuse votes for the old version.
func (s *State) commitWitnesses() {
	if !s.isChangingWitnesses() {
		return
	}
	acknowledged := 0
	for _, w := range s.committed.witnesses {
		if w == s.self.Member {
			acknowledged++
			continue
		}
		if e := s.actingEntry(w); e != nil && e.witness.ackedWitnessSetVersion >= s.proposed.version {
			acknowledged++
		}
	}
	if s.committed.version == 0 || acknowledged >= majority(len(s.committed.witnesses)) {
		s.committed = s.proposed
	}
}

// markUnresponsive excludes members that do not acknowledge heartbeats from new
// witness sets for avoidDuration.
func (s *State) markUnresponsive(now time.Time) {
	for _, m := range s.heartbeatTargets() {
		e := s.entries[m]
		if !e.witness.unansweredSince.IsZero() && now.Sub(e.witness.unansweredSince) > unresponsiveAfter {
			e.witness.avoidUntil = now.Add(avoidDuration)
		}
	}
}

// chooseWitnesses returns the preferred witnesses, sorted by member. It returns nil
// if other members exist but none is eligible: an instance may have itself as its
// single witness only if it knows no other joining or active member.
func (s *State) chooseWitnesses(now time.Time) []fleet.Member {
	var local, remote []*entry
	others := 0
	for _, e := range s.sortedEntries {
		if e.Status >= Leaving || e.Member.ID == s.self.Member.ID {
			continue
		}
		others++
		if e.witness.votedToFence || now.Before(e.witness.avoidUntil) {
			continue
		}
		if e.Domain == s.self.Domain {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	if others == 0 {
		return []fleet.Member{s.self.Member}
	}
	chosen := s.balanceDomains(local, remote)
	// With an even number of other witnesses the instance is a witness itself, so
	// that the failure of half of the others does not stop it.
	if len(chosen) > 0 && len(chosen)%2 == 0 {
		chosen = append(chosen, s.self.Member)
	}
	slices.SortFunc(chosen, fleet.Member.Compare)
	return chosen
}

// balanceDomains returns up to maxLocalWitnesses local members and fills the set
// with members of other failure domains. If there are too few remote members, more
// local ones are taken.
func (s *State) balanceDomains(local, remote []*entry) []fleet.Member {
	s.sortCandidates(local)
	s.sortCandidates(remote)
	localCount := min(len(local), max(maxLocalWitnesses, maxWitnesses-len(remote)))
	remoteCount := min(len(remote), maxWitnesses-min(localCount, maxWitnesses))
	localCount = min(localCount, maxWitnesses)
	var chosen []fleet.Member
	for _, e := range local[:localCount] {
		chosen = append(chosen, e.Member)
	}
	for _, e := range remote[:remoteCount] {
		chosen = append(chosen, e.Member)
	}
	return chosen
}

// sortCandidates puts the current witnesses first, so that a new member alone does
// not change the witness set, and sorts the others by rendezvous score.
func (s *State) sortCandidates(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		current := slices.Contains(s.committed.witnesses, a.Member)
		if current != slices.Contains(s.committed.witnesses, b.Member) {
			if current {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.witnessScore, a.witnessScore); c != 0 {
			return c
		}
		return a.Member.Compare(b.Member)
	})
}

// allRecentlyAcked reports whether each member acknowledged a heartbeat that was
// sent at most maxAckAge ago.
func (s *State) allRecentlyAcked(now time.Time, members []fleet.Member) bool {
	for _, m := range members {
		if m == s.self.Member {
			continue
		}
		e, ok := s.entries[m]
		if !ok || now.Sub(e.witness.lastAckedSentAt) > maxAckAge {
			return false
		}
	}
	return true
}

// heartbeatTargets returns the committed, proposed and prospective witnesses other
// than this instance, each once.
func (s *State) heartbeatTargets() []fleet.Member {
	var targets []fleet.Member
	for _, list := range [][]fleet.Member{s.committed.witnesses, s.proposed.witnesses, s.prospectiveWitnesses} {
		for _, m := range list {
			e := s.actingEntry(m)
			if e != nil && e != s.self && !slices.Contains(targets, e.Member) {
				targets = append(targets, e.Member)
			}
		}
	}
	return targets
}

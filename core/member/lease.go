package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// leaseEnd returns the end of the lease that the acknowledgements of a majority
// of the witnesses give; zero if fewer have acknowledged.
func (s *State) leaseEnd(witnesses []fleet.Member) time.Time {
	var ackedSentAt []time.Time
	for _, w := range witnesses {
		if w == s.self.Member {
			ackedSentAt = append(ackedSentAt, s.lastCommandAt)
			continue
		}
		if e := s.actingEntry(w); e != nil && !e.witness.lastAckedSentAt.IsZero() {
			ackedSentAt = append(ackedSentAt, e.witness.lastAckedSentAt)
		}
	}
	needed := majority(len(witnesses))
	if len(ackedSentAt) < needed {
		return time.Time{}
	}
	slices.SortFunc(ackedSentAt, func(a, b time.Time) int { return b.Compare(a) })
	return ackedSentAt[needed-1].Add(s.options.LeaseDuration)
}

// renewLease recomputes the end of the lease. The first valid lease makes this
// instance active, or leaving if it is about to stop.
func (s *State) renewLease(now time.Time, effects *Effects) {
	if s.committed.version == 0 || s.self.Status == Left {
		return
	}
	s.leaseUntil = s.leaseEnd(s.committed.witnesses)
	if s.isChangingWitnesses() {
		if proposedEnd := s.leaseEnd(s.proposed.witnesses); proposedEnd.Before(s.leaseUntil) {
			s.leaseUntil = proposedEnd
		}
	}
	if s.self.Status == Joining && s.leaseUntil.After(now) {
		record := s.self.Record
		record.Status = Active
		if s.leaving {
			record.Status = Leaving
		}
		s.replaceRecord(now, s.self, record, effects)
		s.heartbeatNow = true
	}
}

// rejoinIfLeaseUnrenewable rejoins if the lease has lapsed and can never be renewed:
// a majority of the witnesses has ended or voted, or the lease lapsed so long ago
// that the witnesses may have dropped the record of the fencing.
func (s *State) rejoinIfLeaseUnrenewable(now time.Time, effects *Effects) {
	if s.committed.version == 0 || s.self.Status == Left || s.leaseUntil.After(now) {
		return
	}
	voteMayBeForgotten := !s.leaseUntil.IsZero() && now.Sub(s.leaseUntil) > maxRenewableLapse
	majorityLost := s.hasLostMajority(s.committed.witnesses) || s.hasLostMajority(s.proposed.witnesses)
	if voteMayBeForgotten || majorityLost {
		s.rejoin(now, effects)
	}
}

// hasLostMajority reports whether too many witnesses have ended or voted for a
// majority to acknowledge again.
func (s *State) hasLostMajority(witnesses []fleet.Member) bool {
	canAcknowledge := 0
	for _, w := range witnesses {
		if e := s.actingEntry(w); e != nil && !e.witness.votedToFence {
			canAcknowledge++
		}
	}
	return canAcknowledge < majority(len(witnesses))
}

package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// leaseFor returns until when acknowledgements of a majority of the witnesses
// carry the lease.
func (s *State) leaseFor(witnesses []fleet.Member) time.Time {
	var sent []time.Time
	for _, w := range witnesses {
		if w == s.self.Member {
			sent = append(sent, s.lastSeen)
			continue
		}
		if e := s.acting(w); e != nil && !e.answering.sentAt.IsZero() {
			sent = append(sent, e.answering.sentAt)
		}
	}
	needed := majority(len(witnesses))
	if len(sent) < needed {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[needed-1].Add(s.options.LeaseDuration)
}

// renewLease recomputes the lease and activates the member on its first one.
func (s *State) renewLease(now time.Time, effects *Effects) {
	if s.committed.number == 0 || s.self.Status == Left {
		return
	}
	s.lease = s.leaseFor(s.committed.witnesses)
	if s.changing() {
		if other := s.leaseFor(s.proposed.witnesses); other.Before(s.lease) {
			s.lease = other
		}
	}
	if s.self.Status == Joining && s.lease.After(now) {
		record := s.self.Record
		record.Status = Active
		if s.leaving {
			record.Status = Leaving
		}
		s.replace(now, s.self, record, effects)
		s.urgent = true
	}
}

// leaveLostPanel rejoins if the lease has lapsed and can never be renewed: a
// majority of a panel has ended or voted, or the lapse is so long ago that the
// witnesses may have forgotten a certificate.
func (s *State) leaveLostPanel(now time.Time, effects *Effects) {
	if s.committed.number == 0 || s.self.Status == Left || s.lease.After(now) {
		return
	}
	forgotten := !s.lease.IsZero() && now.Sub(s.lease) > renewLimit
	lost := s.lost(s.committed.witnesses) || s.lost(s.proposed.witnesses)
	if forgotten || lost {
		s.rejoin(now, effects)
	}
}

// lost reports whether a majority of the witnesses can never acknowledge.
func (s *State) lost(witnesses []fleet.Member) bool {
	able := 0
	for _, w := range witnesses {
		if e := s.acting(w); e != nil && !e.answering.refused {
			able++
		}
	}
	return able < majority(len(witnesses))
}

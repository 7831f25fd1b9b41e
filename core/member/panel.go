package member

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// changing reports whether a panel change is under way.
func (s *State) changing() bool { return s.proposed.number != s.committed.number }

// maintainPanel replaces witnesses that are lost and takes in better ones. A
// new panel is proposed only once all of its members and a majority of the old
// one acknowledge, so that the change does not interrupt the lease.
func (s *State) maintainPanel(now time.Time, effects *Effects) {
	if s.changing() || !s.contacts.bootstrapped || s.self.Status == Left {
		s.prospects = nil
		return
	}
	if now.Before(s.panelDue) && len(s.prospects) == 0 {
		return
	}
	s.panelDue = now.Add(panelEvery)
	s.prospects = nil
	wanted := s.chooseWitnesses(now)
	if len(wanted) == 0 || slices.Equal(wanted, s.committed.witnesses) {
		return
	}
	s.prospects = wanted
	if !s.allFresh(now, wanted) || s.leaseFor(wanted).Before(s.lease) {
		return
	}
	if s.committed.number > 0 && !s.leaseFor(s.committed.witnesses).After(now) {
		return
	}
	s.propose(now, wanted, effects)
}

func (s *State) propose(now time.Time, witnesses []fleet.Member, effects *Effects) {
	s.proposed = panel{number: s.committed.number + 1, witnesses: witnesses}
	s.prospects = nil
	record := s.self.Record
	record.WitnessSetVersion, record.Witnesses = s.proposed.number, s.proposed.witnesses
	s.replace(now, s.self, record, effects)
	s.urgent = true
	s.commitPanel()
}

// commitPanel ends a panel change once a majority of the old panel has
// acknowledged the new one. From then on no certificate of the old panel can
// form, since those who acknowledged answer with the new panel.
func (s *State) commitPanel() {
	if !s.changing() {
		return
	}
	acknowledged := 0
	for _, w := range s.committed.witnesses {
		if w == s.self.Member {
			acknowledged++
			continue
		}
		if e := s.acting(w); e != nil && e.answering.panel >= s.proposed.number {
			acknowledged++
		}
	}
	if s.committed.number == 0 || acknowledged >= majority(len(s.committed.witnesses)) {
		s.committed = s.proposed
	}
}

// markUnresponsive keeps members that do not answer out of new panels.
func (s *State) markUnresponsive(now time.Time) {
	for _, m := range s.targets() {
		e := s.entries[m]
		if !e.answering.silentSince.IsZero() && now.Sub(e.answering.silentSince) > unresponsiveAfter {
			e.answering.avoidUntil = now.Add(avoidFor)
		}
	}
}

// chooseWitnesses returns the panel that this instance would like, in order of
// member. It is nil if members exist but none of them answers: an instance is
// its own witness only if it knows of no other that stays.
func (s *State) chooseWitnesses(now time.Time) []fleet.Member {
	var local, remote []*entry
	others := 0
	for _, e := range s.sorted {
		if e.Status >= Leaving || e.Member.ID == s.self.Member.ID {
			continue
		}
		others++
		if e.answering.refused || now.Before(e.answering.avoidUntil) {
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
	chosen := s.pickWitnesses(local, remote)
	// With an even number of others the instance counts itself, so that the
	// loss of half of the others does not stop it.
	if len(chosen) > 0 && len(chosen)%2 == 0 {
		chosen = append(chosen, s.self.Member)
	}
	slices.SortFunc(chosen, fleet.Member.Compare)
	return chosen
}

// pickWitnesses takes up to three local members and the others from other
// failure domains; where one kind is short the other fills up.
func (s *State) pickWitnesses(local, remote []*entry) []fleet.Member {
	s.sortWitnesses(local)
	s.sortWitnesses(remote)
	nearby := min(len(local), max(localWitnesses, panelSize-len(remote)))
	distant := min(len(remote), panelSize-min(nearby, panelSize))
	nearby = min(nearby, panelSize)
	var chosen []fleet.Member
	for _, e := range local[:nearby] {
		chosen = append(chosen, e.Member)
	}
	for _, e := range remote[:distant] {
		chosen = append(chosen, e.Member)
	}
	return chosen
}

// sortWitnesses puts the current witnesses first, so that a new member causes
// no panel change by itself, and the others in rendezvous order.
func (s *State) sortWitnesses(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		current := slices.Contains(s.committed.witnesses, a.Member)
		if current != slices.Contains(s.committed.witnesses, b.Member) {
			if current {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return a.Member.Compare(b.Member)
	})
}

// allFresh reports whether all of the members acknowledged lately.
func (s *State) allFresh(now time.Time, members []fleet.Member) bool {
	for _, m := range members {
		if m == s.self.Member {
			continue
		}
		e, ok := s.entries[m]
		if !ok || now.Sub(e.answering.sentAt) > freshAcks {
			return false
		}
	}
	return true
}

// targets returns the members that heartbeats go to, without repetition.
func (s *State) targets() []fleet.Member {
	var targets []fleet.Member
	for _, list := range [][]fleet.Member{s.committed.witnesses, s.proposed.witnesses, s.prospects} {
		for _, m := range list {
			e := s.acting(m)
			if e != nil && e != s.self && !slices.Contains(targets, e.Member) {
				targets = append(targets, e.Member)
			}
		}
	}
	return targets
}

package member

import (
	"slices"
	"time"
)

// mergeAll merges records of another instance. The unknown members in a long
// list are not passed on one by one, except for the sender in the first place;
// after a Sync that would fill all messages for a minute.
func (s *State) mergeAll(now time.Time, records []Record, effects *Effects) {
	for i, record := range records {
		relay := i == 0 || len(records) <= maxNews
		s.merge(now, record, relay, effects)
	}
}

// merge takes the later status and the higher panel of a record.
func (s *State) merge(now time.Time, record Record, relay bool, effects *Effects) {
	switch {
	case record.Member.IsZero():
		return
	case record.Member == s.self.Member:
		if record.Status == Fenced {
			s.rejoin(now, effects)
		}
		return
	case s.isFormer(record.Member):
		s.answerFormer(now, record)
		return
	}
	e, known := s.entries[record.Member]
	if !known {
		s.adopt(now, record, relay, effects)
		return
	}
	if e.Status.Ended() && !record.Status.Ended() {
		s.shareAgain(now, e)
	}
	next := e.Record
	if record.Status >= next.Status && !record.Successor.IsZero() {
		next.Successor = record.Successor
	}
	next.Status = max(next.Status, record.Status)
	if record.WitnessSetVersion > next.WitnessSetVersion {
		next.WitnessSetVersion = record.WitnessSetVersion
		next.Witnesses = record.Witnesses
	}
	s.replace(now, e, next, effects)
}

// adopt takes the record of an unknown incarnation. One that has ended is kept
// but not passed on: those who saw it end do so.
func (s *State) adopt(now time.Time, record Record, relay bool, effects *Effects) {
	e := s.insert(now, record)
	if record.Status.Ended() {
		return
	}
	if relay {
		s.enqueue(record.Member)
	}
	s.startWitnessing(now, e)
	if record.Status == Active {
		effects.event(EventJoined, e)
	}
}

// shareAgain passes on that an incarnation ended, because another instance
// missed it while it was shared.
func (s *State) shareAgain(now time.Time, e *entry) {
	if now.Before(e.shareUntil) {
		return
	}
	e.shareUntil = now.Add(shareEnded)
	s.enqueue(e.Member)
}

// answerFormer corrects another instance that takes a former incarnation of
// this process for a member.
func (s *State) answerFormer(now time.Time, record Record) {
	if record.Status == Fenced {
		return
	}
	e, known := s.entries[record.Member]
	if !known {
		record.Status, record.Successor = Fenced, s.self.Member
		e = s.insert(now, record)
	}
	s.shareAgain(now, e)
}

// replace stores a changed record, passes it on and reports the change.
func (s *State) replace(now time.Time, e *entry, next Record, effects *Effects) {
	previous := e.Record
	if next.Status == previous.Status && next.WitnessSetVersion == previous.WitnessSetVersion && next.Successor == previous.Successor {
		return
	}
	s.digest -= contribution(previous)
	e.Record = next
	s.digest += contribution(next)
	s.noteStatus(now, e)
	s.startWitnessing(now, e)
	s.enqueue(next.Member)
	s.touch()
	if e == s.self {
		s.forgetKnowsSelf()
	}
	if next.Status == previous.Status {
		return
	}
	if next.Status.Ended() {
		e.shareUntil = now.Add(shareEnded)
	}
	switch {
	case next.Status == Active:
		effects.event(EventJoined, e)
	case next.Status == Left:
		effects.event(EventLeft, e)
	case next.Status == Fenced && previous.Status != Left:
		effects.event(EventFenced, e)
		s.urgent = true
	}
}

// startWitnessing begins the count of silence when a member lists this
// instance as a witness.
func (s *State) startWitnessing(now time.Time, e *entry) {
	if e.witnessing.lastAck.IsZero() && s.isWitness(e) {
		e.witnessing.lastAck = now
	}
}

// isWitness reports whether e lists this process, under its current or a former
// incarnation, as a witness.
func (s *State) isWitness(e *entry) bool {
	return e != s.self && slices.ContainsFunc(e.Witnesses, s.isOwn)
}

func (s *State) forgetKnowsSelf() {
	for _, e := range s.sorted {
		e.answering.knowsSelf = false
	}
}

// clean drops records that ended long ago.
func (s *State) clean(now time.Time) {
	if now.Before(s.cleanDue) {
		return
	}
	s.cleanDue = now.Add(time.Second)
	expired := func(e *entry) bool {
		return e.Status.Ended() && e != s.self && now.Sub(e.EndedAt) > keepEnded
	}
	before := len(s.sorted)
	s.sorted = slices.DeleteFunc(s.sorted, func(e *entry) bool {
		if !expired(e) {
			return false
		}
		delete(s.entries, e.Member)
		return true
	})
	if len(s.sorted) != before {
		s.touch()
	}
}

func (f *Effects) event(kind EventKind, e *entry) {
	f.Events = append(f.Events, Event{Kind: kind, Member: e.Member, PeerAddress: e.PeerAddress})
}

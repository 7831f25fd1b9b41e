package member

import (
	"slices"
	"time"
)

// mergeRecords merges records from another instance. Unknown members in a long list
// are not gossiped, except for the sender, which is first in the list: after a Sync
// they would fill all messages for a minute.
func (s *State) mergeRecords(now time.Time, records []Record, effects *Effects) {
	for i, record := range records {
		gossipUnknown := i == 0 || len(records) <= maxGossipRecords
		s.mergeRecord(now, record, gossipUnknown, effects)
	}
}

// mergeRecord merges one record from another instance: it keeps the later status
// and the newer witness set. GossipUnknown says whether an unknown member is
// gossiped.
func (s *State) mergeRecord(now time.Time, record Record, gossipUnknown bool, effects *Effects) {
	switch {
	case record.Member.IsZero():
		return
	case record.Member == s.self.Member:
		if record.Status == Fenced {
			s.rejoin(now, effects)
		}
		return
	case s.isFormerIncarnation(record.Member):
		s.correctFormerIncarnation(now, record)
		return
	}
	e, known := s.entries[record.Member]
	if !known {
		s.addUnknown(now, record, gossipUnknown, effects)
		return
	}
	if e.Status.Ended() && !record.Status.Ended() {
		s.gossipEndedAgain(now, e)
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
	s.replaceRecord(now, e, next, effects)
}

// addUnknown stores the record of an unknown incarnation. An ended one is not
// gossiped, since the instances that saw it end gossip it.
func (s *State) addUnknown(now time.Time, record Record, gossipUnknown bool, effects *Effects) {
	e := s.insertEntry(now, record)
	if record.Status.Ended() {
		return
	}
	if gossipUnknown {
		s.queueGossip(record.Member)
	}
	s.startWitnessing(now, e)
	if record.Status == Active {
		effects.addEvent(EventJoined, e)
	}
}

// gossipEndedAgain restarts the gossip of an ended record, because another instance
// did not receive it while it was gossiped.
func (s *State) gossipEndedAgain(now time.Time, e *entry) {
	if now.Before(e.gossipUntil) {
		return
	}
	e.gossipUntil = now.Add(endedGossipDuration)
	s.queueGossip(e.Member)
}

// correctFormerIncarnation gossips that a former incarnation of this process is
// fenced, if a received record says otherwise.
func (s *State) correctFormerIncarnation(now time.Time, record Record) {
	if record.Status == Fenced {
		return
	}
	e, known := s.entries[record.Member]
	if !known {
		record.Status, record.Successor = Fenced, s.self.Member
		e = s.insertEntry(now, record)
	}
	s.gossipEndedAgain(now, e)
}

// replaceRecord stores a changed record, gossips it and emits an event if its
// status changed.
func (s *State) replaceRecord(now time.Time, e *entry, next Record, effects *Effects) {
	previous := e.Record
	if next.Status == previous.Status && next.WitnessSetVersion == previous.WitnessSetVersion && next.Successor == previous.Successor {
		return
	}
	s.digest -= digestContribution(previous)
	e.Record = next
	s.digest += digestContribution(next)
	s.recordStatusTime(now, e)
	s.startWitnessing(now, e)
	s.queueGossip(next.Member)
	s.invalidateView()
	if e == s.self {
		s.resetHasOwnRecord()
	}
	if next.Status == previous.Status {
		return
	}
	if next.Status.Ended() {
		e.gossipUntil = now.Add(endedGossipDuration)
	}
	switch {
	case next.Status == Active:
		effects.addEvent(EventJoined, e)
	case next.Status == Left:
		effects.addEvent(EventLeft, e)
	case next.Status == Fenced && previous.Status != Left:
		effects.addEvent(EventFenced, e)
		s.heartbeatNow = true
	}
}

// startWitnessing starts to count the time without an acknowledgement of a member
// when the member lists this instance as a witness.
func (s *State) startWitnessing(now time.Time, e *entry) {
	if e.subject.lastAckAt.IsZero() && s.isWitness(e) {
		e.subject.lastAckAt = now
	}
}

// isWitness reports whether the record of e lists the current or a former
// incarnation of this process as a witness.
func (s *State) isWitness(e *entry) bool {
	return e != s.self && slices.ContainsFunc(e.Witnesses, s.isOwnIncarnation)
}

func (s *State) resetHasOwnRecord() {
	for _, e := range s.sortedEntries {
		e.witness.hasOwnRecord = false
	}
}

// dropExpired drops the records that ended more than endedRecordTTL ago.
func (s *State) dropExpired(now time.Time) {
	if now.Before(s.cleanupDue) {
		return
	}
	s.cleanupDue = now.Add(time.Second)
	expired := func(e *entry) bool {
		return e.Status.Ended() && e != s.self && now.Sub(e.EndedAt) > endedRecordTTL
	}
	previousCount := len(s.sortedEntries)
	s.sortedEntries = slices.DeleteFunc(s.sortedEntries, func(e *entry) bool {
		if !expired(e) {
			return false
		}
		delete(s.entries, e.Member)
		return true
	})
	if len(s.sortedEntries) != previousCount {
		s.invalidateView()
	}
}

func (effects *Effects) addEvent(kind EventKind, e *entry) {
	effects.Events = append(effects.Events, Event{Kind: kind, Member: e.Member, PeerAddress: e.PeerAddress})
}

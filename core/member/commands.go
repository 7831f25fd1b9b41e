package member

import (
	"time"

	"galenaridge/core/fleet"
)

// Tick does what is due: heartbeats, fence rounds, panel changes, contacts.
func (s *State) Tick(now time.Time) Effects {
	var effects Effects
	now = s.observe(now)
	s.clean(now)
	if s.self.Status == Left {
		return effects
	}
	s.renewLease(now, &effects)
	s.leaveLostPanel(now, &effects)
	s.markUnresponsive(now)
	s.bootstrap(now)
	s.contact(now, &effects)
	s.maintainPanel(now, &effects)
	s.suspect(now, &effects)
	s.startRounds(now, &effects)
	s.applyLastResort(now, &effects)
	s.sendHeartbeats(now, &effects)
	return effects
}

// SetListing takes a newly read listing of the platform; older revisions are
// ignored.
func (s *State) SetListing(now time.Time, listing fleet.Listing) {
	s.contacts.setListing(s.observe(now), listing)
}

// SetConfig sets what this instance announces as in force.
func (s *State) SetConfig(now time.Time, config Config) {
	s.observe(now)
	if s.config != config {
		s.config = config
		s.urgent = true
	}
}

// MergeRecords merges records that arrived outside of this package's messages.
func (s *State) MergeRecords(now time.Time, records []Record) Effects {
	var effects Effects
	s.mergeAll(s.observe(now), records, &effects)
	return effects
}

// StartLeaving announces that this instance is about to stop. One that is still joining
// announces it with its first lease: others take a leaving member for one that
// knows the fleet.
func (s *State) StartLeaving(now time.Time) Effects {
	s.leaving = true
	if s.self.Status == Joining {
		s.observe(now)
		return Effects{}
	}
	return s.advance(now, Leaving, fleet.Member{})
}

// FinishLeaving announces that this instance has stopped work and who answers for its
// records; it gives up the lease. Successor may be zero.
func (s *State) FinishLeaving(now time.Time, successor fleet.Member) Effects {
	effects := s.advance(now, Left, successor)
	s.lease = time.Time{}
	return effects
}

// advance moves this instance's own record forward and announces it at once.
func (s *State) advance(now time.Time, status Status, successor fleet.Member) Effects {
	var effects Effects
	now = s.observe(now)
	if s.self.Status >= status {
		return effects
	}
	record := s.self.Record
	record.Status, record.Successor = status, successor
	s.replace(now, s.self, record, &effects)
	s.urgent = true
	s.sendHeartbeats(now, &effects)
	return effects
}

// HandleHeartbeat answers a heartbeat. An instance without a lease acknowledges
// as well; otherwise a fleet whose leases all lapsed could not recover.
func (s *State) HandleHeartbeat(now time.Time, message Heartbeat) (HeartbeatReply, Effects) {
	var effects Effects
	now = s.observe(now)
	s.takeNews(now, message.From, message.Gossip, &effects)
	reply := HeartbeatReply{From: s.self.Member}
	e, known := s.entries[message.From]
	if known {
		reply.Fenced = e.witnessing.voted || e.Status == Fenced
		reply.Acknowledged = !reply.Fenced && e.Status != Left && s.self.Status != Left
	}
	if reply.Acknowledged {
		e.witnessing.lastAck = now
		e.witnessing.seenPanel = max(e.witnessing.seenPanel, message.WitnessSetVersion)
	}
	reply.Gossip = s.news(now, e)
	return reply, effects
}

// HandleHeartbeatReply takes the reply to a heartbeat of this instance.
func (s *State) HandleHeartbeatReply(now time.Time, sent OutgoingHeartbeat, reply HeartbeatReply) Effects {
	var effects Effects
	now = s.observe(now)
	s.takeNews(now, reply.From, reply.Gossip, &effects)
	e, known := s.entries[reply.From]
	if !known || reply.From != sent.To.Member || sent.Message.From != s.self.Member {
		return effects
	}
	if reply.Fenced {
		e.answering.refused = true
	}
	if reply.Acknowledged {
		s.acknowledge(e, sent)
		s.commitPanel()
		s.renewLease(now, &effects)
	}
	return effects
}

// acknowledge notes what a witness has acknowledged.
func (s *State) acknowledge(e *entry, sent OutgoingHeartbeat) {
	a := &e.answering
	if sent.SentAt.After(a.sentAt) {
		a.sentAt = sent.SentAt
	}
	a.panel = max(a.panel, sent.Message.WitnessSetVersion)
	a.silentSince = time.Time{}
	a.avoidUntil = time.Time{}
	for _, r := range sent.Message.Gossip.Records {
		if r.Member == s.self.Member && r.Status == s.self.Status && r.WitnessSetVersion == s.self.WitnessSetVersion {
			a.knowsSelf = true
		}
	}
}

// HandleHeartbeatFailure says that a heartbeat got no reply. It changes nothing but
// the time, since silence is counted from the sending.
func (s *State) HandleHeartbeatFailure(now time.Time, _ OutgoingHeartbeat) Effects {
	s.observe(now)
	return Effects{}
}

// HandleSync answers a Sync with all records.
func (s *State) HandleSync(now time.Time, message SyncRequest) (SyncReply, Effects) {
	var effects Effects
	now = s.observe(now)
	s.mergeAll(now, message.Records, &effects)
	s.noteIntroduction(message.Records)
	return SyncReply{Records: s.records(now)}, effects
}

// HandleSyncReply takes the reply to a Sync of this instance.
func (s *State) HandleSyncReply(now time.Time, _ OutgoingSync, reply SyncReply) Effects {
	var effects Effects
	now = s.observe(now)
	s.mergeAll(now, reply.Records, &effects)
	s.noteIntroduction(reply.Records)
	return effects
}

// noteIntroduction notes that an active member has sent all of its records, its
// own first.
func (s *State) noteIntroduction(records []Record) {
	if len(records) == 0 {
		return
	}
	sender, known := s.entries[records[0].Member]
	if known && sender != s.self && (sender.Status == Active || sender.Status == Leaving) {
		s.contacts.introduced = true
	}
}

// HandleSyncFailure says that a Sync got no reply; the contact is asked again later.
func (s *State) HandleSyncFailure(now time.Time, _ OutgoingSync) { s.observe(now) }

// HandleFence answers a request to vote.
func (s *State) HandleFence(now time.Time, message FenceRequest) (FenceReply, Effects) {
	now = s.observe(now)
	reply := FenceReply{From: s.self.Member}
	if e, known := s.entries[message.Target]; known {
		reply.Granted = s.vote(now, e, message.WitnessSetVersion)
		reply.Record = e.Record
	}
	return reply, Effects{}
}

// HandleFenceReply takes the answer to a fence request of this instance.
func (s *State) HandleFenceReply(now time.Time, sent OutgoingFenceRequest, reply FenceReply) Effects {
	var effects Effects
	now = s.observe(now)
	s.merge(now, reply.Record, true, &effects)
	e, known := s.entries[sent.Message.Target]
	if !known {
		return effects
	}
	w := &e.witnessing
	if reply.From != sent.To.Member {
		// Another process has taken the address.
		w.unreachable = add(w.unreachable, sent.To.Member)
		return effects
	}
	w.unreachable = remove(w.unreachable, reply.From)
	if reply.Granted {
		s.countVote(e, reply.From)
		s.certify(now, e, &effects)
	}
	return effects
}

// HandleFenceFailure says that a fence request got no reply.
func (s *State) HandleFenceFailure(now time.Time, sent OutgoingFenceRequest) Effects {
	s.observe(now)
	if e, known := s.entries[sent.Message.Target]; known {
		e.witnessing.unreachable = add(e.witnessing.unreachable, sent.To.Member)
	}
	return Effects{}
}

package member

import (
	"time"

	"galenaridge/core/fleet"
)

// Tick performs the periodic work that is due at now: heartbeats, fence rounds,
// changes of the witness set and discovery.
func (s *State) Tick(now time.Time) Effects {
	var effects Effects
	now = s.advanceClock(now)
	s.dropExpired(now)
	if s.self.Status == Left {
		return effects
	}
	s.renewLease(now, &effects)
	s.rejoinIfLeaseUnrenewable(now, &effects)
	s.markUnresponsive(now)
	s.bootstrap(now)
	s.sendDiscoverySyncs(now, &effects)
	s.maintainWitnesses(now, &effects)
	s.updateSuspicions(now, &effects)
	s.startFenceRounds(now, &effects)
	s.applyUncertifiedFencing(now, &effects)
	s.sendHeartbeats(now, &effects)
	return effects
}

// SetListing stores a newly read listing of the platform; revisions that are not
// newer are ignored.
func (s *State) SetListing(now time.Time, listing fleet.Listing) {
	s.discovery.setListing(s.advanceClock(now), listing)
}

// SetConfig sets the configuration that this instance announces.
func (s *State) SetConfig(now time.Time, config Config) {
	s.advanceClock(now)
	if s.config != config {
		s.config = config
		s.heartbeatNow = true
	}
}

// MergeRecords merges records that did not arrive with a message of this package.
func (s *State) MergeRecords(now time.Time, records []Record) Effects {
	var effects Effects
	s.mergeRecords(s.advanceClock(now), records, &effects)
	return effects
}

// StartLeaving announces that this instance is about to stop. A joining instance
// defers the announcement to its first lease, since other instances assume that a
// leaving member knows the fleet.
func (s *State) StartLeaving(now time.Time) Effects {
	s.leaving = true
	if s.self.Status == Joining {
		s.advanceClock(now)
		return Effects{}
	}
	return s.advanceOwnStatus(now, Leaving, fleet.Member{})
}

// FinishLeaving releases the lease and announces that this instance has left.
// Successor is the member that took over its at-most-once records; it may be
// zero.
func (s *State) FinishLeaving(now time.Time, successor fleet.Member) Effects {
	effects := s.advanceOwnStatus(now, Left, successor)
	s.leaseUntil = time.Time{}
	return effects
}

// advanceOwnStatus sets a later status in this instance's own record and announces
// it at once.
func (s *State) advanceOwnStatus(now time.Time, status Status, successor fleet.Member) Effects {
	var effects Effects
	now = s.advanceClock(now)
	if s.self.Status >= status {
		return effects
	}
	record := s.self.Record
	record.Status, record.Successor = status, successor
	s.replaceRecord(now, s.self, record, &effects)
	s.heartbeatNow = true
	s.sendHeartbeats(now, &effects)
	return effects
}

// HandleHeartbeat returns the reply to a heartbeat. An instance acknowledges
// heartbeats even without a lease; otherwise a fleet whose leases all lapsed
// could not recover.
func (s *State) HandleHeartbeat(now time.Time, message Heartbeat) (HeartbeatReply, Effects) {
	var effects Effects
	now = s.advanceClock(now)
	s.mergeGossip(now, message.From, message.Gossip, &effects)
	reply := HeartbeatReply{From: s.self.Member}
	e, known := s.entries[message.From]
	if known {
		reply.Fenced = e.subject.votedToFence || e.Status == Fenced
		reply.Acknowledged = !reply.Fenced && e.Status != Left && s.self.Status != Left
	}
	if reply.Acknowledged {
		e.subject.lastAckAt = now
		e.subject.latestWitnessSetVersion = max(e.subject.latestWitnessSetVersion, message.WitnessSetVersion)
	}
	reply.Gossip = s.buildGossip(now, e)
	return reply, effects
}

// HandleHeartbeatReply processes the reply to a heartbeat of this instance.
func (s *State) HandleHeartbeatReply(now time.Time, sent OutgoingHeartbeat, reply HeartbeatReply) Effects {
	var effects Effects
	now = s.advanceClock(now)
	s.mergeGossip(now, reply.From, reply.Gossip, &effects)
	e, known := s.entries[reply.From]
	if !known || reply.From != sent.To.Member || sent.Message.From != s.self.Member {
		return effects
	}
	if reply.Fenced {
		e.witness.votedToFence = true
	}
	if reply.Acknowledged {
		s.recordAck(e, sent)
		s.commitWitnesses()
		s.renewLease(now, &effects)
	}
	return effects
}

// recordAck records a witness's acknowledgement of a heartbeat.
func (s *State) recordAck(e *entry, sent OutgoingHeartbeat) {
	witness := &e.witness
	if sent.SentAt.After(witness.lastAckedSentAt) {
		witness.lastAckedSentAt = sent.SentAt
	}
	witness.ackedWitnessSetVersion = max(witness.ackedWitnessSetVersion, sent.Message.WitnessSetVersion)
	witness.unansweredSince = time.Time{}
	witness.avoidUntil = time.Time{}
	for _, r := range sent.Message.Gossip.Records {
		if r.Member == s.self.Member && r.Status == s.self.Status && r.WitnessSetVersion == s.self.WitnessSetVersion {
			witness.hasOwnRecord = true
		}
	}
}

// HandleHeartbeatFailure processes a heartbeat without a reply. It only
// advances the time: the time without an acknowledgement is counted from the
// send time of the heartbeat.
func (s *State) HandleHeartbeatFailure(now time.Time, _ OutgoingHeartbeat) Effects {
	s.advanceClock(now)
	return Effects{}
}

// HandleSync merges the records of a sync request and replies with all records.
func (s *State) HandleSync(now time.Time, message SyncRequest) (SyncReply, Effects) {
	var effects Effects
	now = s.advanceClock(now)
	s.mergeRecords(now, message.Records, &effects)
	s.recordSyncWithActive(message.Records)
	return SyncReply{Records: s.gossipedRecords(now)}, effects
}

// HandleSyncReply processes the reply to a sync request of this instance.
func (s *State) HandleSyncReply(now time.Time, _ OutgoingSync, reply SyncReply) Effects {
	var effects Effects
	now = s.advanceClock(now)
	s.mergeRecords(now, reply.Records, &effects)
	s.recordSyncWithActive(reply.Records)
	return effects
}

// recordSyncWithActive sets syncedWithActive if the sender of a Sync is an active
// or leaving member. The first record is the sender's own.
func (s *State) recordSyncWithActive(records []Record) {
	if len(records) == 0 {
		return
	}
	sender, known := s.entries[records[0].Member]
	if known && sender != s.self && (sender.Status == Active || sender.Status == Leaving) {
		s.discovery.syncedWithActive = true
	}
}

// HandleSyncFailure processes a sync request without a reply. It only advances
// the time; discovery sends another request later.
func (s *State) HandleSyncFailure(now time.Time, _ OutgoingSync) { s.advanceClock(now) }

// HandleFence returns the reply to a fence request. A granted vote is final.
func (s *State) HandleFence(now time.Time, message FenceRequest) (FenceReply, Effects) {
	now = s.advanceClock(now)
	reply := FenceReply{From: s.self.Member}
	if e, known := s.entries[message.Target]; known {
		reply.Granted = s.grantVote(now, e, message.WitnessSetVersion)
		reply.Record = e.Record
	}
	return reply, Effects{}
}

// HandleFenceReply processes the reply to a fence request of this instance.
func (s *State) HandleFenceReply(now time.Time, sent OutgoingFenceRequest, reply FenceReply) Effects {
	var effects Effects
	now = s.advanceClock(now)
	s.mergeRecord(now, reply.Record, true, &effects)
	e, known := s.entries[sent.Message.Target]
	if !known {
		return effects
	}
	subject := &e.subject
	if reply.From != sent.To.Member {
		// Another process has taken the address.
		subject.unreachable = addMember(subject.unreachable, sent.To.Member)
		return effects
	}
	subject.unreachable = removeMember(subject.unreachable, reply.From)
	if reply.Granted {
		s.recordVote(e, reply.From)
		s.fenceIfMajority(now, e, &effects)
	}
	return effects
}

// HandleFenceFailure processes a fence request without a reply: its receiver
// counts as unreachable.
func (s *State) HandleFenceFailure(now time.Time, sent OutgoingFenceRequest) Effects {
	s.advanceClock(now)
	if e, known := s.entries[sent.Message.Target]; known {
		e.subject.unreachable = addMember(e.subject.unreachable, sent.To.Member)
	}
	return Effects{}
}

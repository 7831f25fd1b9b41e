package member

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// queuedUpdate is a changed record that is still being gossiped.
type queuedUpdate struct {
	member    fleet.Member
	sendCount int
}

// digestContribution returns the summand of a record in the digest. It is zero for
// ended records, because instances drop them at different times.
func digestContribution(r Record) uint64 {
	if r.Status.Ended() {
		return 0
	}
	h := fnv.New64a()
	var fixed [17]byte
	binary.LittleEndian.PutUint64(fixed[0:], uint64(r.Member.Incarnation))
	binary.LittleEndian.PutUint64(fixed[8:], uint64(r.WitnessSetVersion))
	fixed[16] = byte(r.Status)
	_, _ = h.Write(fixed[:])
	_, _ = h.Write([]byte(r.Member.ID))
	return h.Sum64()
}

// queueGossip puts a record first in the gossip queue and resets its send count.
func (s *State) queueGossip(m fleet.Member) {
	s.gossipQueue = slices.DeleteFunc(s.gossipQueue, func(u queuedUpdate) bool { return u.member == m })
	s.gossipQueue = slices.Insert(s.gossipQueue, 0, queuedUpdate{member: m})
}

// buildGossip returns the gossip for one message; to may be nil. The records that
// were sent least often come first. Each is sent a number of times that grows with
// the logarithm of the size of the fleet, which reaches almost all members; digests
// reveal the remaining differences.
func (s *State) buildGossip(now time.Time, to *entry) Gossip {
	gossip := Gossip{Digest: s.digest, Config: s.config}
	if to != nil && !to.witness.hasOwnRecord {
		gossip.Records = append(gossip.Records, s.self.Record)
	}
	if to != nil && to.Status == Fenced {
		gossip.Records = append(gossip.Records, to.Record)
	}
	maxSends := 4 + 2*bits.Len(uint(len(s.sortedEntries)))
	for i := range s.gossipQueue {
		if len(gossip.Records) == maxGossipRecords {
			break
		}
		u := &s.gossipQueue[i]
		u.sendCount++
		if e, ok := s.entries[u.member]; ok && s.isGossiped(now, e) && !containsMember(gossip.Records, u.member) {
			gossip.Records = append(gossip.Records, e.Record)
		}
	}
	s.gossipQueue = slices.DeleteFunc(s.gossipQueue, func(u queuedUpdate) bool { return u.sendCount >= maxSends })
	slices.SortStableFunc(s.gossipQueue, func(a, b queuedUpdate) int { return a.sendCount - b.sendCount })
	return gossip
}

// isGossiped reports whether the record of e may be sent to other instances.
func (s *State) isGossiped(now time.Time, e *entry) bool {
	return !e.Status.Ended() || now.Before(e.gossipUntil)
}

// gossipedRecords returns all records to send with a Sync, this instance's own
// first.
func (s *State) gossipedRecords(now time.Time) []Record {
	records := make([]Record, 0, len(s.sortedEntries))
	records = append(records, s.self.Record)
	for _, e := range s.sortedEntries {
		if e != s.self && s.isGossiped(now, e) {
			records = append(records, e.Record)
		}
	}
	return records
}

// mergeGossip merges the received records and compares the sender's digest and
// configuration with this instance's.
func (s *State) mergeGossip(now time.Time, from fleet.Member, gossip Gossip, effects *Effects) {
	s.mergeRecords(now, gossip.Records, effects)
	e, known := s.entries[from]
	if !known || e.Status.Ended() {
		return
	}
	s.compareDigest(now, e, gossip.Digest, effects)
	s.compareConfig(now, e, gossip.Config, effects)
}

// compareDigest starts a Sync if the digests have differed for at least
// digestMismatchDelay.
func (s *State) compareDigest(now time.Time, e *entry, digest uint64, effects *Effects) {
	switch {
	case digest == s.digest:
		e.digestMismatchSince = time.Time{}
	case e.digestMismatchSince.IsZero():
		e.digestMismatchSince = now
	case now.Sub(e.digestMismatchSince) >= digestMismatchDelay && now.Sub(s.lastSyncAt) >= minSyncInterval:
		s.lastSyncAt = now
		e.digestMismatchSince = time.Time{}
		s.addSyncRequest(now, Peer{Member: e.Member, Address: e.PeerAddress}, effects)
	}
}

func (s *State) addSyncRequest(now time.Time, to Peer, effects *Effects) {
	message := SyncRequest{From: s.self.Member, Records: s.gossipedRecords(now)}
	effects.SyncRequests = append(effects.SyncRequests, OutgoingSync{To: to, Message: message})
}

// compareConfig emits an event for a member with a newer or conflicting
// configuration, at most once a second for the same configuration.
func (s *State) compareConfig(now time.Time, e *entry, config Config, effects *Effects) {
	kind := EventConfigNewer
	switch {
	case config.Version > s.config.Version || config.ListingRevision > s.config.ListingRevision:
	case config.Version == s.config.Version && config.Digest != s.config.Digest:
		kind = EventConfigConflict
	default:
		return
	}
	if e.reportedConfig == config && now.Sub(e.configReportedAt) < time.Second {
		return
	}
	e.reportedConfig, e.configReportedAt = config, now
	effects.Events = append(effects.Events, Event{Kind: kind, Member: e.Member, PeerAddress: e.PeerAddress, Config: config})
}

func containsMember(records []Record, m fleet.Member) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Member == m })
}

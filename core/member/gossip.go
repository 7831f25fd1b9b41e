package member

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// update is a changed record that is still passed on.
type update struct {
	member fleet.Member
	sent   int
}

// contribution returns the part of a record in the digest. Ended records do
// not count, because instances drop them at different times.
func contribution(r Record) uint64 {
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

// enqueue passes a record on with the next messages.
func (s *State) enqueue(m fleet.Member) {
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.member == m })
	s.updates = slices.Insert(s.updates, 0, update{member: m})
}

// news returns what rides on a message to e. Records that were sent least go
// first. Each is sent a number of times that grows with the logarithm of the
// fleet, which spreads it to almost all; the digest finds the rest.
func (s *State) news(now time.Time, to *entry) Gossip {
	news := Gossip{Digest: s.digest, Config: s.config}
	if to != nil && !to.answering.knowsSelf {
		news.Records = append(news.Records, s.self.Record)
	}
	if to != nil && to.Status == Fenced {
		news.Records = append(news.Records, to.Record)
	}
	limit := 4 + 2*bits.Len(uint(len(s.sorted)))
	for i := range s.updates {
		if len(news.Records) == maxNews {
			break
		}
		u := &s.updates[i]
		u.sent++
		if e, ok := s.entries[u.member]; ok && s.shares(now, e) && !contains(news.Records, u.member) {
			news.Records = append(news.Records, e.Record)
		}
	}
	s.updates = slices.DeleteFunc(s.updates, func(u update) bool { return u.sent >= limit })
	slices.SortStableFunc(s.updates, func(a, b update) int { return a.sent - b.sent })
	return news
}

// shares reports whether a record is passed on.
func (s *State) shares(now time.Time, e *entry) bool {
	return !e.Status.Ended() || now.Before(e.shareUntil)
}

// records returns all records for a Sync, this instance's own first.
func (s *State) records(now time.Time) []Record {
	records := make([]Record, 0, len(s.sorted))
	records = append(records, s.self.Record)
	for _, e := range s.sorted {
		if e != s.self && s.shares(now, e) {
			records = append(records, e.Record)
		}
	}
	return records
}

// takeNews merges news and compares digest and configuration.
func (s *State) takeNews(now time.Time, from fleet.Member, news Gossip, effects *Effects) {
	s.mergeAll(now, news.Records, effects)
	e, known := s.entries[from]
	if !known || e.Status.Ended() {
		return
	}
	s.compareDigest(now, e, news.Digest, effects)
	s.compareConfig(now, e, news.Config, effects)
}

// compareDigest starts a Sync if the records have differed for a while.
func (s *State) compareDigest(now time.Time, e *entry, digest uint64, effects *Effects) {
	switch {
	case digest == s.digest:
		e.mismatchSince = time.Time{}
	case e.mismatchSince.IsZero():
		e.mismatchSince = now
	case now.Sub(e.mismatchSince) >= mismatchFor && now.Sub(s.lastSync) >= syncEvery:
		s.lastSync = now
		e.mismatchSince = time.Time{}
		s.sync(now, Peer{Member: e.Member, Address: e.PeerAddress}, effects)
	}
}

func (s *State) sync(now time.Time, to Peer, effects *Effects) {
	message := SyncRequest{From: s.self.Member, Records: s.records(now)}
	effects.SyncRequests = append(effects.SyncRequests, OutgoingSync{To: to, Message: message})
}

// compareConfig reports a member that has newer or conflicting documents, at
// most once a second while nothing changes.
func (s *State) compareConfig(now time.Time, e *entry, config Config, effects *Effects) {
	kind := EventConfigNewer
	switch {
	case config.Version > s.config.Version || config.ListingRevision > s.config.ListingRevision:
	case config.Version == s.config.Version && config.Digest != s.config.Digest:
		kind = EventConfigConflict
	default:
		return
	}
	if e.reported == config && now.Sub(e.reportedAt) < time.Second {
		return
	}
	e.reported, e.reportedAt = config, now
	effects.Events = append(effects.Events, Event{Kind: kind, Member: e.Member, PeerAddress: e.PeerAddress, Config: config})
}

func contains(records []Record, m fleet.Member) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Member == m })
}

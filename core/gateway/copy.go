package gateway

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/workset"
)

// batch is a set of changes that took the copy from one revision to another.
type batch struct {
	from, to fleet.Revision
	changes  []follow.Change
}

// keep remembers changes for peers that ask for them.
func (s *state) keep(b batch) {
	if len(b.changes) == 0 && len(s.batches) > 0 {
		s.batches[len(s.batches)-1].to = b.to
		return
	}
	s.batches = append(s.batches, b)
	total := 0
	for i := len(s.batches) - 1; i >= 0; i-- {
		total += len(s.batches[i].changes)
		if total > maxChanges || len(s.batches)-i > maxBatches {
			s.batches = append([]batch(nil), s.batches[i+1:]...)
			return
		}
	}
}

// listing returns what the copy has beyond a revision: the changes since, or all
// if they are not kept.
func (s *state) listing(now time.Time, known fleet.Revision) follow.Listing {
	listing := follow.Listing{Revision: s.revision, Age: s.age(now)}
	if len(s.batches) > 0 && s.batches[0].from <= known {
		listing.Partial = true
		for _, b := range s.batches {
			if b.to > known {
				listing.Changes = append(listing.Changes, b.changes...)
			}
		}
		return listing
	}
	listing.Routes = s.document
	view := s.registry.View()
	for _, name := range view.Services() {
		listing.Servers = append(listing.Servers, view.Servers(name)...)
	}
	return listing
}

// compare takes what a beat says of the sender's copy. A copy of the same
// revision confirms the own one; a newer one is fetched by those that do not
// read the store or that it does not answer.
func (s *state) compare(now time.Time, beat workset.Heartbeat) {
	if !beat.Ready {
		return
	}
	s.copies = true
	s.newest = max(s.newest, beat.Revision)
	switch {
	case s.newest <= s.revision:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = now
	}
	switch {
	case beat.Revision < s.revision:
		return
	case beat.Revision == s.revision:
		s.confirm(now.Add(-beat.CopyAge))
		return
	}
	if s.watching && !s.storeLost && s.revision > 0 && now.Sub(s.confirmedAt) < ownAfter {
		return
	}
	near := beat.Domain == s.options.Self.Domain
	if near || now.Sub(s.behindSince) > distantAfter {
		s.options.CopyFetcher.Fetch(beat.PeerAddress, s.revision)
	}
}

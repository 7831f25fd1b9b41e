package gateway

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/workset"
)

// batch holds the changes of the copy of the store from one revision to another.
type batch struct {
	from, to fleet.Revision
	changes  []follow.Change
}

// keepBatch stores changes for peers that request them. It drops the oldest batches
// beyond maxBatches and maxChanges.
func (s *state) keepBatch(b batch) {
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

// listingSince returns the part of the copy that is newer than a known revision: the
// changes since then, or the complete copy if those changes are no longer stored.
func (s *state) listingSince(now time.Time, known fleet.Revision) follow.Listing {
	listing := follow.Listing{Revision: s.revision, Age: s.copyAge(now)}
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

// compareCopy compares the own copy of the store with the copy that a heartbeat
// reports. A copy of the same revision confirms the own copy. A newer copy is fetched
// from the sender, unless this instance reads the store itself, the store responds and
// the own copy is not overdue. From another failure domain it is fetched only after the
// own copy has been behind for remoteFetchDelay.
func (s *state) compareCopy(now time.Time, heartbeat workset.Heartbeat) {
	if !heartbeat.Ready {
		return
	}
	s.peerHasCopy = true
	s.newestRevision = max(s.newestRevision, heartbeat.Revision)
	switch {
	case s.newestRevision <= s.revision:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = now
	}
	switch {
	case heartbeat.Revision < s.revision:
		return
	case heartbeat.Revision == s.revision:
		s.confirmCopy(now.Add(-heartbeat.CopyAge))
		return
	}
	if s.followingStore && !s.storeLost && s.revision > 0 && now.Sub(s.confirmedAt) < overdueCopyAge {
		return
	}
	local := heartbeat.Domain == s.options.Self.Domain
	if local || now.Sub(s.behindSince) > remoteFetchDelay {
		s.options.CopyFetcher.Fetch(heartbeat.PeerAddress, s.revision)
	}
}

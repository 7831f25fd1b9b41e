package gateway

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/workset"
)

// keepBatch stores changes of servers for peers that request them. It drops the oldest
// batches beyond maxBatches and maxChanges. The configuration is not among the changes:
// peers fetch it apart, and only its latest version.
func (s *state) keepBatch(b follow.Batch) {
	b.Changes = serverChanges(b.Changes)
	if len(b.Changes) == 0 && len(s.batches) > 0 {
		s.batches[len(s.batches)-1].To = b.To
		return
	}
	s.batches = append(s.batches, b)
	total := 0
	for i := len(s.batches) - 1; i >= 0; i-- {
		total += len(s.batches[i].Changes)
		if total > maxChanges || len(s.batches)-i > maxBatches {
			s.batches = append([]follow.Batch(nil), s.batches[i+1:]...)
			return
		}
	}
}

// serverChanges returns the changes without those of the configuration.
func serverChanges(changes []follow.Change) []follow.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c follow.Change) bool { return c.Routes != nil || c.Refused != nil })
}

// changesSince returns the changes of the server listing after a known position. It
// returns follow.ErrCompacted if some of them are no longer stored, if they are too many for
// one call, or if the position is of another era.
func (s *state) changesSince(now time.Time, known fleet.Position) (follow.Listing, error) {
	if len(s.batches) == 0 || s.batches[0].From.After(known) || known.Era != s.position.Era {
		return follow.Listing{}, follow.ErrCompacted
	}
	listing := follow.Listing{Position: s.position, Since: known, Age: s.copyAge(now), Partial: true}
	for _, b := range s.batches {
		if b.To.After(known) {
			listing.Changes = append(listing.Changes, b.Changes...)
		}
	}
	if len(listing.Changes) > maxFetchedChanges {
		return follow.Listing{}, follow.ErrCompacted
	}
	return listing, nil
}

// announcement is the newest generation of a document that peers have announced.
type announcement struct {
	newest      follow.Generation
	announcedAt time.Time
	own         follow.Generation
	// behindSince is the time since which the own generation is lower and does not rise;
	// zero if it is not lower.
	behindSince time.Time
}

// update takes an announcement of a peer and the own generation into account. An
// announcement that no heartbeat repeats is forgotten: the peer that made it is gone.
func (a *announcement) update(now time.Time, announced, own follow.Generation) {
	if !announced.Before(a.newest) || now.Sub(a.announcedAt) > announcementTTL {
		a.newest, a.announcedAt = announced, now
	}
	if a.own.Before(own) {
		a.own, a.behindSince = own, time.Time{}
	}
	switch {
	case !own.Before(a.newest):
		a.behindSince = time.Time{}
	case a.behindSince.IsZero():
		a.behindSince = now
	}
}

// isBehind reports whether the own generation is lower than one announced recently.
func (a *announcement) isBehind(now time.Time) bool {
	return !a.behindSince.IsZero() && now.Sub(a.announcedAt) <= announcementTTL
}

// behindFor returns for how long the own generation has been lower than an announced one.
func (a *announcement) behindFor(now time.Time) time.Duration {
	if !a.isBehind(now) {
		return 0
	}
	return now.Sub(a.behindSince)
}

// recordProgress updates the announcements after a change of the own copy.
func (s *state) recordProgress(now time.Time) {
	s.announcedListing.update(now, follow.Generation{}, follow.PositionGeneration(s.position))
	s.announcedConfig.update(now, follow.Generation{}, follow.VersionGeneration(s.routes.Version()))
}

// compareCopy compares the own copy of the store with the copy that a heartbeat
// reports, and requests from the sender what is newer there.
func (s *state) compareCopy(now time.Time, heartbeat workset.Heartbeat) {
	if !heartbeat.Ready {
		return
	}
	s.peerHasCopy = true
	s.announcedListing.update(now, follow.PositionGeneration(heartbeat.Position), follow.PositionGeneration(s.position))
	s.announcedConfig.update(now, follow.VersionGeneration(heartbeat.Version), follow.VersionGeneration(s.routes.Version()))
	if heartbeat.ReadsStore && heartbeat.Position == s.position {
		s.confirmCopy(now, heartbeat.ReadAge)
	}
	if heartbeat.ReadsStore && heartbeat.Version == s.routes.Version() {
		s.confirmConfig(now, heartbeat.ReadAge)
	}
	if heartbeat.Position.After(s.position) && s.mayFetch(now, heartbeat.Domain, &s.announcedListing) {
		s.options.CopyFetcher.FetchChanges(heartbeat.PeerAddress, s.position)
	}
	if heartbeat.Version > s.routes.Version() && s.mayFetch(now, heartbeat.Domain, &s.announcedConfig) {
		s.options.CopyFetcher.FetchConfiguration(heartbeat.PeerAddress, heartbeat.Version)
	}
}

// configBehind reports whether a newer configuration may exist. After a freeze, the next
// heartbeats say whether there is one; an instance that gets none goes on with what it has.
func (s *state) configBehind(now time.Time) bool {
	resumed := !s.resumedAt.IsZero() && now.Sub(s.resumedAt) <= announcementTTL && s.configConfirmedAt.Before(s.resumedAt)
	return resumed || s.announcedConfig.isBehind(now)
}

// mayFetch reports whether a newer document may be fetched from a peer of a failure
// domain. An instance that reads the store fetches it only if the store does not respond
// or its copy is overdue. From another failure domain a document is fetched only after
// the own one has been behind for remoteFetchDelay.
func (s *state) mayFetch(now time.Time, domain fleet.Domain, announced *announcement) bool {
	behind := announced.behindFor(now)
	if s.isReading() && !s.storeLost && !s.position.IsZero() && now.Sub(s.confirmedAt) < overdueCopyAge && behind < overdueCopyAge {
		return false
	}
	return domain == s.options.Self.Domain || behind > remoteFetchDelay
}

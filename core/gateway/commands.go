package gateway

import (
	"context"
	"slices"
	"time"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// ApplyListing implements follow.Sink.
func (l *Loop) ApplyListing(listing follow.Listing, outage bool) {
	l.submit(context.Background(), func(s *state) { s.applyListing(listing, outage) })
}

// applyListing updates the copy of the store with a listing of the store or of a peer. A
// listing that is older than the copy is discarded: a newer one of a peer may arrive while
// a listing of the store is read. The follower then reads the changes since the listing.
func (s *state) applyListing(listing follow.Listing, outage bool) {
	now := s.options.Clock.Now()
	switch {
	case listing.Partial:
		if !s.applyChanges(follow.Batch{From: listing.Since, To: listing.Position, Changes: listing.Changes}) {
			return
		}
	case listing.Position.Before(s.position):
		return
	default:
		s.replaceCopy(now, listing, outage)
	}
	s.recordProgress(now)
	if listing.Routes != nil || listing.Refused != nil {
		// Only listings of the store include the configuration.
		s.recordRead(now)
	} else {
		s.confirmCopy(now, listing.Age)
	}
	s.updateRole(now)
}

// replaceCopy replaces the copy of the store with a complete listing that is not older.
func (s *state) replaceCopy(now time.Time, listing follow.Listing, outage bool) {
	keepUntil := s.missingKeptUntil(now, listing, outage)
	s.registry.Replace(withPositions(listing.Servers, listing.Position), listing.Position, keepUntil)
	s.applyServers()
	s.adoptRoutes(listing.Routes)
	s.refuseConfig(listing.Refused)
	if s.position.IsZero() {
		s.listedAt = now
	}
	s.position = listing.Position
	s.batches = []follow.Batch{{From: s.position, To: s.position}}
	s.options.Events.ListingApplied(listing.Position, s.registry.View().ServerCount(), outage)
}

// missingKeptUntil returns the time until which servers that a complete listing lacks stay in
// use, zero if they have left. After an outage of the store, and in the first listing of a new
// era, the entries of live servers may be missing until they are written again. The listing of a
// peer that is not settled counts as one after an outage.
//
// An instance that was cut off from the store alone sees the same as in an outage of the store,
// but the servers that the listing lacks have left. Neither had ended at outageSeenAt. With an
// end that is measured from there, no server that has left is used later than SettleTime after
// the path is whole again, and lapsed ones stay until they had about two seconds since the
// return of the store to write their entries.
func (s *state) missingKeptUntil(now time.Time, listing follow.Listing, outage bool) time.Time {
	restored := !s.position.IsZero() && listing.Position.Era > s.position.Era
	afterOutage := (outage || listing.Age > 0) && s.copyRecentlyOld(now)
	if listing.Settled || !restored && !afterOutage {
		return time.Time{}
	}
	if listing.OutageAge > 0 && s.reliesOnPeers() {
		s.recordOutage(now.Add(-listing.OutageAge))
	}
	s.settledAt = now.Add(lapseGrace)
	seenAt := s.outageSeenAt
	if restored && s.confirmedAt.After(seenAt) {
		// The copy was confirmed in the earlier era, before the restore.
		seenAt = s.confirmedAt
	}
	if end := s.graceEnd(seenAt); end.After(now) {
		return end
	}
	return time.Time{}
}

// graceEnd returns the time until which missing servers may stay in use after an outage that
// was last seen at a time.
func (s *state) graceEnd(seenAt time.Time) time.Time {
	return fleet.Earlier(seenAt.Add(s.options.SettleTime-settleMargin), s.settledAt)
}

// recordOutage records that the store, or the path to it, was out of service at a time. A call
// that was lost before the end of an outage may be noticed after the first listing, which a peer
// read: then the outage ended later than was known, and missing servers stay in use for longer.
func (s *state) recordOutage(at time.Time) {
	if !at.After(s.outageSeenAt) {
		return
	}
	s.outageSeenAt = at
	s.registry.KeepMissing(s.graceEnd(at))
}

// reliesOnPeers reports whether what peers know of an outage counts for this instance. It calls
// the store too seldom, or not at all, to see the end of an outage in time. The paths of peers
// may be cut off for longer than its own, so a reader goes by its own calls.
func (s *state) reliesOnPeers() bool { return s.reading != follow.Reader }

// isSettled reports whether the servers that the listing lacks have left: no entry of a live
// server can have lapsed, or it has been written again. An instance knows it only once it has
// followed the store for long enough.
func (s *state) isSettled(now time.Time) bool {
	return !s.position.IsZero() && !s.copyRecentlyOld(now) && !now.Before(s.settledAt) && now.Sub(s.listedAt) >= lapseGrace
}

// withPositions returns servers with the position of the listing in place of positions that
// are not known, since earlier releases do not send them.
func withPositions(servers []registry.Server, position fleet.Position) []registry.Server {
	servers = slices.Clone(servers)
	for i := range servers {
		if servers[i].Written.IsZero() {
			servers[i].Written = position
		}
	}
	return servers
}

// ApplyChanges implements follow.Sink.
func (l *Loop) ApplyChanges(batch follow.Batch) {
	l.submit(context.Background(), func(s *state) {
		now := s.options.Clock.Now()
		if !s.applyChanges(batch) {
			return
		}
		s.recordProgress(now)
		s.recordRead(now)
		s.updateRole(now)
	})
}

// ApplyConfiguration implements follow.Sink and follow.PeerSink.
func (l *Loop) ApplyConfiguration(document *route.Document) {
	l.submit(context.Background(), func(s *state) {
		now := s.options.Clock.Now()
		s.adoptRoutes(document)
		s.recordProgress(now)
		s.updateRole(now)
	})
}

// RefuseConfiguration implements follow.Sink.
func (l *Loop) RefuseConfiguration(refused *follow.ConfigError) {
	l.submit(context.Background(), func(s *state) { s.refuseConfig(refused) })
}

// applyChanges updates the copy of the store with the changes that it does not have, and
// reports whether the copy now has the position at which the batch ends. It discards a batch
// that ends before the copy, that is of another era, or that lacks the changes between the
// copy and its beginning.
func (s *state) applyChanges(batch follow.Batch) bool {
	if batch.From.Era != batch.To.Era || batch.To.Era != s.position.Era || batch.From.After(s.position) || batch.To.Before(s.position) {
		return false
	}
	var missed []follow.Change
	for _, c := range batch.Changes {
		c = withPosition(c, batch.To)
		if c.Position.After(s.position) {
			missed = append(missed, c)
			s.applyChange(c)
		}
	}
	s.applyServers()
	s.keepBatch(follow.Batch{From: s.position, To: batch.To, Changes: missed})
	s.position = batch.To
	return true
}

// withPosition returns a change with the end of its batch in place of a position that is not
// known.
func withPosition(change follow.Change, end fleet.Position) follow.Change {
	if change.Position.IsZero() {
		change.Position = end
	}
	if change.Server != nil && change.Server.Written != change.Position {
		server := *change.Server
		server.Written = change.Position
		change.Server = &server
	}
	return change
}

// applyChange applies one change, unless the entry that it changes is newer, and reports it.
func (s *state) applyChange(change follow.Change) {
	switch {
	case change.Server != nil:
		if s.registry.Put(*change.Server) {
			s.options.Events.ServerChanged(*change.Server)
		}
	case change.Removed != "":
		if s.registry.Remove(change.Removed, change.Position) {
			s.options.Events.ServerRemoved(change.Removed, false)
		}
	default:
		s.adoptRoutes(change.Routes)
		s.refuseConfig(change.Refused)
	}
}

// confirmCopy records that the copy of the store was current some time ago.
func (s *state) confirmCopy(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(s.confirmedAt) && !s.hasResumed(now) {
		s.confirmedAt = at
	}
}

// confirmConfig records that the configuration was current some time ago.
func (s *state) confirmConfig(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(s.configConfirmedAt) && !s.hasResumed(now) {
		s.configConfirmedAt = at
	}
}

// hasResumed reports whether the process was frozen right before. What arrives then has waited
// in the buffers of the machine for an unknown time, and confirms nothing.
func (s *state) hasResumed(now time.Time) bool {
	s.recordResume(now)
	return !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumeDelay
}

// recordResume sets resumedAt if the control goroutine has not run for freezeGap.
func (s *state) recordResume(now time.Time) {
	if now.Sub(s.activeAt) > freezeGap {
		s.resumedAt, s.activeAt = now, now
	}
}

// ReportFetch implements follow.PeerSink.
func (l *Loop) ReportFetch(report follow.FetchReport) { l.options.Events.CopyFetched(report) }

// HandleHeartbeat handles a heartbeat of another instance. The heartbeat is dropped if
// too many commands are queued; the next one follows soon.
func (l *Loop) HandleHeartbeat(heartbeat workset.Heartbeat) {
	l.trySubmit(func(s *state) {
		now := s.options.Clock.Now()
		reply, joined := s.workingSet.HandleHeartbeat(now, heartbeat)
		s.compareCopy(now, heartbeat)
		if heartbeat.OutageAge > 0 && s.reliesOnPeers() {
			s.recordOutage(now.Add(-heartbeat.OutageAge))
		}
		if joined {
			s.options.Events.PeerJoined(heartbeat.Member)
		}
		if reply != "" {
			s.options.Peers.SendHeartbeat(s.workingSet.ContactsReply(now), []fleet.Address{reply})
		}
		if joined || heartbeat.Leaving || heartbeat.StoreUnreachable && s.workingSet.View().Rank() <= maxPromptRank {
			s.updateRole(now)
		}
	})
}

// HandleReport passes the report of another instance about servers to the pools. The
// pools have their own locks with short critical sections, so the report does not pass
// through the control goroutine.
func (l *Loop) HandleReport(report Report) {
	if report.Sender.ID == l.options.Self.Member.ID {
		return
	}
	now := l.options.Clock.Now()
	if !report.Quota.IsZero() {
		l.trySubmit(func(s *state) { s.applyQuotaReport(s.options.Clock.Now(), report) })
	}
	for _, u := range l.View().upstreams {
		u.Servers.ApplyReports(now, report.Sender.ID, report.ServerReports)
	}
}

// Stop begins a planned stop: callers are sent to other instances. It returns at once
// if the context ends first.
func (l *Loop) Stop(ctx context.Context, plan dispatch.StopPlan) {
	l.submit(ctx, func(s *state) {
		if s.stopPlan != nil {
			return
		}
		s.stopPlan = &plan
		s.options.Events.Stopping()
		s.updateRole(s.options.Clock.Now())
	})
}

// ChangesSince returns the changes of the server listing after a known position, for
// another instance. It returns follow.ErrCompacted if some of them are no longer stored or
// the position is of another era, and fails when the context ends.
func (l *Loop) ChangesSince(ctx context.Context, known fleet.Position) (follow.Listing, error) {
	type result struct {
		listing follow.Listing
		err     error
	}
	results := make(chan result, 1)
	l.submit(ctx, func(s *state) {
		listing, err := s.changesSince(s.options.Clock.Now(), known)
		results <- result{listing, err}
	})
	select {
	case r := <-results:
		return r.listing, r.err
	case <-ctx.Done():
		return follow.Listing{}, ctx.Err()
	}
}

// AddContacts adds peer addresses from which contacts may be requested. They are
// dropped if too many commands are queued.
func (l *Loop) AddContacts(seeds []fleet.Address) {
	l.trySubmit(func(s *state) { s.workingSet.AddContacts(seeds) })
}

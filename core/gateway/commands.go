package gateway

import (
	"context"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/workset"
)

// ApplyListing implements follow.Sink.
func (l *Loop) ApplyListing(listing follow.Listing, outage bool) {
	l.do(context.Background(), func(s *state) { s.list(listing, outage) })
}

// list takes a listing of the store or of a peer.
func (s *state) list(listing follow.Listing, outage bool) {
	now := s.options.Clock.Now()
	if listing.Age > 0 && listing.Revision < s.revision {
		// A copy of a peer that is older than the own one.
		return
	}
	if listing.Partial {
		s.change(listing.Changes, listing.Revision)
	} else {
		s.replace(now, listing, outage)
	}
	if s.newest <= s.revision {
		s.behindSince = time.Time{}
	}
	s.confirm(now.Add(-listing.Age))
	s.place(now)
}

// replace takes a complete listing.
func (s *state) replace(now time.Time, listing follow.Listing, outage bool) {
	keepUntil := time.Time{}
	if outage && s.aged(now) {
		keepUntil = now.Add(lapseGrace)
	}
	s.registry.Replace(listing.Servers, keepUntil)
	s.applyServers()
	s.adopt(listing.Routes)
	s.revision = max(s.revision, listing.Revision)
	s.batches = []batch{{from: s.revision, to: s.revision}}
	s.options.Events.ListingApplied(listing.Revision, s.registry.View().ServerCount(), outage)
}

// ApplyChanges implements follow.Sink.
func (l *Loop) ApplyChanges(changes []follow.Change, revision fleet.Revision) {
	l.do(context.Background(), func(s *state) {
		now := s.options.Clock.Now()
		s.change(changes, revision)
		s.confirm(now)
		if len(changes) > 0 {
			s.place(now)
		}
	})
}

// change takes changes up to a revision.
func (s *state) change(changes []follow.Change, revision fleet.Revision) {
	for _, c := range changes {
		s.apply(c)
	}
	s.applyServers()
	s.keep(batch{from: s.revision, to: max(revision, s.revision), changes: changes})
	s.revision = max(s.revision, revision)
}

// apply takes one change.
func (s *state) apply(change follow.Change) {
	switch {
	case change.Server != nil:
		s.registry.Put(*change.Server)
		s.options.Events.ServerChanged(*change.Server)
	case change.Removed != "":
		s.registry.Remove(change.Removed)
		s.options.Events.ServerRemoved(change.Removed, false)
	default:
		s.adopt(change.Routes)
	}
}

// confirm notes that the copy was current at a time.
func (s *state) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// HandleStoreLost implements follow.Sink.
func (l *Loop) HandleStoreLost(err error) {
	l.options.Events.StoreLost(err)
	l.do(context.Background(), func(s *state) {
		s.storeLost = true
		s.place(s.options.Clock.Now())
	})
}

// HandleStoreRegained implements follow.Sink.
func (l *Loop) HandleStoreRegained(after time.Duration) {
	l.options.Events.StoreRegained(after)
	l.do(context.Background(), func(s *state) { s.storeLost = false })
}

// HandleCopyFetchFailure implements follow.Sink.
func (l *Loop) HandleCopyFetchFailure(peer fleet.Address, err error) {
	l.options.Events.CopyFetchFailed(peer, err)
}

// HandleHeartbeat takes a beat of another instance. It is dropped if too many commands
// wait; the next beat follows soon.
func (l *Loop) HandleHeartbeat(beat workset.Heartbeat) {
	l.try(func(s *state) {
		now := s.options.Clock.Now()
		reply, joined := s.working.HandleHeartbeat(now, beat)
		s.compare(now, beat)
		if joined {
			s.options.Events.PeerJoined(beat.Member)
		}
		if reply != "" {
			s.options.Peers.SendHeartbeat(s.working.ContactsReply(now), []fleet.Address{reply})
		}
		if joined || beat.Leaving || beat.StoreUnreachable && s.working.View().Rank() <= lastHelpers {
			s.place(now)
		}
	})
}

// HandleReport takes what another instance knows of servers. The pools have their own
// short critical sections, so it does not pass through the control goroutine.
func (l *Loop) HandleReport(report Report) {
	if report.Sender.ID == l.options.Self.Member.ID {
		return
	}
	now := l.options.Clock.Now()
	for _, u := range l.View().upstreams {
		u.Servers.ApplyReports(now, report.Sender.ID, report.ServerReports)
	}
}

// Stop begins a planned stop: callers are sent elsewhere.
func (l *Loop) Stop(ctx context.Context) {
	l.do(ctx, func(s *state) {
		if s.stopping {
			return
		}
		s.stopping = true
		s.options.Events.Stopping()
		s.place(s.options.Clock.Now())
	})
}

// ListingSince returns what the copy of the store has beyond a revision, for another
// instance. It fails when the context ends.
func (l *Loop) ListingSince(ctx context.Context, known fleet.Revision) (follow.Listing, error) {
	answer := make(chan follow.Listing, 1)
	l.do(ctx, func(s *state) { answer <- s.listing(s.options.Clock.Now(), known) })
	select {
	case listing := <-answer:
		return listing, nil
	case <-ctx.Done():
		return follow.Listing{}, ctx.Err()
	}
}

// AddContacts adds addresses that may know other instances.
func (l *Loop) AddContacts(seeds []fleet.Address) {
	l.try(func(s *state) { s.working.AddContacts(seeds) })
}

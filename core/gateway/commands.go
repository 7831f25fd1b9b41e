package gateway

import (
	"context"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/workset"
)

// Listed implements follow.Sink.
func (l *Loop) Listed(listing follow.Listing, outage bool) {
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
	s.options.Events.Listed(listing.Revision, s.registry.View().Count(), outage)
}

// Changed implements follow.Sink.
func (l *Loop) Changed(changes []follow.Change, revision fleet.Revision) {
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
		s.options.Events.Changed(*change.Server)
	case change.Gone != "":
		s.registry.Remove(change.Gone)
		s.options.Events.Gone(change.Gone, false)
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

// Lost implements follow.Sink.
func (l *Loop) Lost(err error) {
	l.options.Events.StoreLost(err)
	l.do(context.Background(), func(s *state) {
		s.storeLost = true
		s.place(s.options.Clock.Now())
	})
}

// Regained implements follow.Sink.
func (l *Loop) Regained(after time.Duration) {
	l.options.Events.StoreRegained(after)
	l.do(context.Background(), func(s *state) { s.storeLost = false })
}

// Missed implements follow.Sink.
func (l *Loop) Missed(peer fleet.Address, err error) { l.options.Events.CopyMissed(peer, err) }

// Heard takes a beat of another instance. It is dropped if too many commands
// wait; the next beat follows soon.
func (l *Loop) Heard(beat workset.Beat) {
	l.try(func(s *state) {
		now := s.options.Clock.Now()
		reply, joined := s.working.Heard(now, beat)
		s.compare(now, beat)
		if joined {
			s.options.Events.Joined(beat.Member)
		}
		if reply != "" {
			s.options.Peers.Send(s.working.Introduce(now), []fleet.Address{reply})
		}
		if joined || beat.Leaving || beat.Lost && s.working.View().Rank() <= lastHelpers {
			s.place(now)
		}
	})
}

// Told takes what another instance knows of servers. The pools have their own
// short critical sections, so it does not pass through the control goroutine.
func (l *Loop) Told(report Report) {
	if report.From.ID == l.options.Self.Member.ID {
		return
	}
	now := l.options.Clock.Now()
	for _, u := range l.View().upstreams {
		u.Servers.Hear(now, report.From.ID, report.Shares)
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

// Listing returns what the copy of the store has beyond a revision, for another
// instance. It fails when the context ends.
func (l *Loop) Listing(ctx context.Context, known fleet.Revision) (follow.Listing, error) {
	answer := make(chan follow.Listing, 1)
	l.do(ctx, func(s *state) { answer <- s.listing(s.options.Clock.Now(), known) })
	select {
	case listing := <-answer:
		return listing, nil
	case <-ctx.Done():
		return follow.Listing{}, ctx.Err()
	}
}

// Meet adds addresses that may know other instances.
func (l *Loop) Meet(seeds []fleet.Address) {
	l.try(func(s *state) { s.working.Meet(seeds) })
}

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
	l.do(context.Background(), func(s *state) {
		now := s.options.Clock.Now()
		keepUntil := time.Time{}
		if outage {
			keepUntil = now.Add(lapseGrace)
		}
		s.registry.Replace(listing.Servers, keepUntil)
		s.applyServers()
		s.adopt(listing.Routes)
		s.revision = max(s.revision, listing.Revision)
		s.confirm(now.Add(-listing.Age))
		s.options.Events.Listed(listing.Revision, s.registry.View().Count(), outage)
		s.place(now)
	})
}

// Changed implements follow.Sink.
func (l *Loop) Changed(changes []follow.Change, revision fleet.Revision) {
	l.do(context.Background(), func(s *state) {
		for _, change := range changes {
			s.apply(change)
		}
		s.applyServers()
		s.revision = max(s.revision, revision)
		s.confirm(s.options.Clock.Now())
	})
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

// Confirmed implements follow.Sink.
func (l *Loop) Confirmed(age time.Duration) {
	l.do(context.Background(), func(s *state) { s.confirm(s.options.Clock.Now().Add(-age)) })
}

// Lost implements follow.Sink.
func (l *Loop) Lost(err error) { l.options.Events.StoreLost(err) }

// Regained implements follow.Sink.
func (l *Loop) Regained(after time.Duration) { l.options.Events.StoreRegained(after) }

// Candidates implements follow.Sink.
func (l *Loop) Candidates() []fleet.Address {
	return l.View().Working().Peers(l.options.Self.Member.ID)
}

// Heard takes a beat of another instance. It is dropped if too many commands
// wait; the next beat follows soon.
func (l *Loop) Heard(beat workset.Beat) {
	l.try(func(s *state) {
		now := s.options.Clock.Now()
		reply, joined := s.working.Heard(now, beat)
		if joined {
			s.options.Events.Joined(beat.Member)
		}
		if reply != "" {
			s.options.Peers.Send(s.working.Introduce(now), []fleet.Address{reply})
		}
		if joined || beat.Leaving {
			s.place(now)
		}
	})
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

// SetSlow says whether the machine runs slowly.
func (l *Loop) SetSlow(slow bool) {
	l.try(func(s *state) { s.slow = slow })
}

// Listing returns the copy of the store for another instance. It fails when the
// context ends.
func (l *Loop) Listing(ctx context.Context) (follow.Listing, error) {
	answer := make(chan follow.Listing, 1)
	l.do(ctx, func(s *state) { answer <- s.listing(s.options.Clock.Now()) })
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

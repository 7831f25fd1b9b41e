package gateway

import (
	"context"
	"time"

	"galenaridge/core/follow"
)

// updateReading starts or stops reading the store as the rules of readingMode require.
func (s *state) updateReading(now time.Time) { s.setReading(s.readingMode(now)) }

// readingMode returns how this instance reads the store now. Normally only the store reader of
// a failure domain reads it, and its heartbeats confirm the copies of the others there. Each
// instance whose copy is not confirmed in time reads the store itself, at any rank: whoever
// should have confirmed it may be lost, frozen, cut off or refused by the store, and so may all
// that rank before this instance. Instances of higher rank wait a little longer, so that the
// first one to succeed confirms their copies before they call the store. The wait is bounded, so
// an instance that the store serves has a copy not older than overdueCopyAge and maxRankDelay,
// with a tick and a call.
func (s *state) readingMode(now time.Time) follow.Mode {
	view := s.workingSet.View()
	mode := follow.Backup
	if view.IsStoreReader() || view.Rank() <= maxPromptRank {
		mode = follow.Reader
	}
	if s.position.IsZero() {
		if s.mustReadFirstListing(now) {
			return mode
		}
		return follow.Off
	}
	justResumed := !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < resumeDelay+resumePatience
	overdue := s.knowledgeAge(now) > overdueCopyAge+s.rankDelay() && !justResumed
	behind := s.announcedListing.behindFor(now) > listingPatience+s.rankDelay()
	if behind {
		s.readUntil = now.Add(minReadTime)
	}
	switch {
	case view.IsStoreReader(), overdue, now.Before(s.readUntil):
		return mode
	case s.isReading() && !view.HasReaderAhead():
		// No instance that ranks before this one reads the store, so that others may depend on it.
		return mode
	default:
		return follow.Off
	}
}

// knowledgeAge returns the time since the copy of the store was last confirmed: the age of the
// server listing, or of the configuration if that is older. The first configuration has to be
// confirmed in the same time after the first listing. One that peers have announced is fetched
// from them or by readLateConfig.
func (s *state) knowledgeAge(now time.Time) time.Duration {
	if s.announcedConfig.isBehind(now) {
		return s.copyAge(now)
	}
	return max(s.copyAge(now), min(s.configAge(now), now.Sub(s.listedAt)))
}

// rankDelay returns how much longer than the first in rank this instance waits before it
// reads the store.
func (s *state) rankDelay() time.Duration {
	return min(time.Duration(s.workingSet.View().Rank())*rankDelay, maxRankDelay)
}

// isReading reports whether this instance reads the store.
func (s *state) isReading() bool { return s.reading != follow.Off }

// ownOutageSeenAt returns outageSeenAt for the heartbeats of an instance that calls the store
// often enough for others to rely on it, and zero for others.
func (s *state) ownOutageSeenAt() time.Time {
	if s.reading != follow.Reader || !s.storeLost {
		return time.Time{}
	}
	return s.outageSeenAt
}

// readsStore reports whether this instance confirms the copies of others: it reads the store,
// and its latest call succeeded.
func (s *state) readsStore(now time.Time) bool {
	return s.isReading() && !s.storeLost && !s.readAt.IsZero() && now.Sub(s.readAt) <= overdueCopyAge
}

// readLateConfig reads the configuration from the store if peers have announced a newer one
// and did not deliver it in time.
func (s *state) readLateConfig(now time.Time) {
	if s.isReading() && !s.storeLost || s.announcedConfig.behindFor(now) <= configPatience+s.rankDelay() || now.Sub(s.configReadAt) < configReadInterval {
		return
	}
	s.configReadAt = now
	s.options.StoreFollower.ReadConfiguration()
}

// mustReadFirstListing reports whether this instance, which has no copy yet, has to read
// the store. If a peer has a copy, the instance waits for that copy, at most for
// peerCopyWait, since a complete listing takes many calls. When the whole fleet starts
// for the first time, one instance of each failure domain reads the store, and the
// others wait for its copy, at most until firstStartCopyWait.
func (s *state) mustReadFirstListing(now time.Time) bool {
	uptime := now.Sub(s.startedAt)
	switch {
	case s.options.FirstStart:
		return uptime >= firstStartCopyWait || uptime >= firstStartContactsWait && s.workingSet.View().IsStoreReader()
	case s.peerHasCopy:
		return uptime >= peerCopyWait
	default:
		return uptime >= contactsWait
	}
}

// setReading changes how this instance reads the store. During a planned stop, an instance
// that reads the store continues to do so.
func (s *state) setReading(mode follow.Mode) {
	if mode == follow.Off && s.stopPlan != nil {
		mode = s.reading
	}
	if mode == s.reading {
		return
	}
	if mode == follow.Off || s.reading == follow.Off {
		s.storeLost = false
	}
	s.reading = mode
	s.options.Events.ReadingChanged(mode, s.copyAge(s.options.Clock.Now()))
	s.options.StoreFollower.SetMode(mode)
}

// recordRead records that the store was read, by a call whose response has just arrived.
func (s *state) recordRead(now time.Time) {
	s.storeLost = false
	if !s.hasResumed(now) {
		s.readAt = now
	}
	s.confirmCopy(now, 0)
	s.confirmConfig(now, 0)
}

// HandleStoreLost implements follow.Sink.
func (l *Loop) HandleStoreLost(err error, calledAt time.Time) {
	l.submit(context.Background(), func(s *state) {
		s.recordOutage(calledAt)
		if !s.storeLost {
			s.storeLost = true
			s.options.Events.StoreLost(err)
		}
		s.updateRole(s.options.Clock.Now())
	})
}

// HandleStoreRegained implements follow.Sink.
func (l *Loop) HandleStoreRegained(after time.Duration) {
	l.submit(context.Background(), func(s *state) {
		s.storeLost = false
		s.options.Events.StoreRegained(after)
	})
}

package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// sendHeartbeats sends heartbeats to all targets when due, and every gossipInterval
// to one random other member.
func (s *State) sendHeartbeats(now time.Time, effects *Effects) {
	if now.Before(s.heartbeatDue) && !s.heartbeatNow {
		return
	}
	s.heartbeatNow = false
	s.heartbeatDue = now.Add(s.options.HeartbeatInterval)
	targets := s.heartbeatTargets()
	for _, m := range targets {
		e := s.entries[m]
		if e.witness.unansweredSince.IsZero() {
			e.witness.unansweredSince = now
		}
		s.sendHeartbeat(now, e, effects)
	}
	if now.Before(s.gossipDue) {
		return
	}
	s.gossipDue = now.Add(gossipInterval)
	if e := s.randomNonTarget(targets); e != nil {
		s.sendHeartbeat(now, e, effects)
	}
}

func (s *State) sendHeartbeat(now time.Time, e *entry, effects *Effects) {
	effects.Heartbeats = append(effects.Heartbeats, OutgoingHeartbeat{
		To:      Peer{Member: e.Member, Address: e.PeerAddress},
		SentAt:  now,
		Message: Heartbeat{From: s.self.Member, WitnessSetVersion: s.self.WitnessSetVersion, Gossip: s.buildGossip(now, e)},
	})
}

// randomNonTarget returns a member that is not among the targets, or nil.
func (s *State) randomNonTarget(targets []fleet.Member) *entry {
	var others []*entry
	for _, e := range s.sortedEntries {
		if e.Member.ID != s.options.ID && !e.Status.Ended() && !slices.Contains(targets, e.Member) {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return others[s.options.Random.Uint64()%uint64(len(others))]
}

// updateSuspicions updates Suspected for all members and emits an event for each
// change.
func (s *State) updateSuspicions(now time.Time, effects *Effects) {
	targets := s.heartbeatTargets()
	for _, e := range s.sortedEntries {
		if e == s.self || e.Status.Ended() {
			continue
		}
		silent := s.isWitness(e) && now.Sub(e.subject.lastAckAt) > suspectAfter
		unansweredSince := e.witness.unansweredSince
		if !unansweredSince.IsZero() && slices.Contains(targets, e.Member) {
			silent = silent || now.Sub(unansweredSince) > suspectAfter
		}
		if silent == e.Suspected {
			continue
		}
		e.Suspected = silent
		s.invalidateView()
		if silent {
			effects.addEvent(EventSuspected, e)
		} else {
			effects.addEvent(EventRecovered, e)
		}
	}
}

func addMember(list []fleet.Member, m fleet.Member) []fleet.Member {
	if slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

func removeMember(list []fleet.Member, m fleet.Member) []fleet.Member {
	return slices.DeleteFunc(list, func(other fleet.Member) bool { return other == m })
}

package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// sendHeartbeats sends to all witnesses when due, and now and then to a random
// member besides.
func (s *State) sendHeartbeats(now time.Time, effects *Effects) {
	if now.Before(s.heartbeatDue) && !s.urgent {
		return
	}
	s.urgent = false
	s.heartbeatDue = now.Add(s.options.HeartbeatInterval)
	targets := s.targets()
	for _, m := range targets {
		e := s.entries[m]
		if e.answering.silentSince.IsZero() {
			e.answering.silentSince = now
		}
		s.sendHeartbeat(now, e, effects)
	}
	if now.Before(s.gossipDue) {
		return
	}
	s.gossipDue = now.Add(gossipEvery)
	if e := s.randomOther(targets); e != nil {
		s.sendHeartbeat(now, e, effects)
	}
}

func (s *State) sendHeartbeat(now time.Time, e *entry, effects *Effects) {
	effects.Heartbeats = append(effects.Heartbeats, OutgoingHeartbeat{
		To:      Peer{Member: e.Member, Address: e.PeerAddress},
		SentAt:  now,
		Message: Heartbeat{From: s.self.Member, WitnessSetVersion: s.self.WitnessSetVersion, Gossip: s.news(now, e)},
	})
}

// randomOther returns a member that is not among the targets, or nil.
func (s *State) randomOther(targets []fleet.Member) *entry {
	var others []*entry
	for _, e := range s.sorted {
		if e.Member.ID != s.options.ID && !e.Status.Ended() && !slices.Contains(targets, e.Member) {
			others = append(others, e)
		}
	}
	if len(others) == 0 {
		return nil
	}
	return others[s.options.Random.Uint64()%uint64(len(others))]
}

// suspect reports members that went silent or were heard again.
func (s *State) suspect(now time.Time, effects *Effects) {
	targets := s.targets()
	for _, e := range s.sorted {
		if e == s.self || e.Status.Ended() {
			continue
		}
		silent := s.isWitness(e) && now.Sub(e.witnessing.lastAck) > silentAfter
		unanswered := e.answering.silentSince
		if !unanswered.IsZero() && slices.Contains(targets, e.Member) {
			silent = silent || now.Sub(unanswered) > silentAfter
		}
		if silent == e.Suspected {
			continue
		}
		e.Suspected = silent
		s.touch()
		if silent {
			effects.event(EventSuspected, e)
		} else {
			effects.event(EventRecovered, e)
		}
	}
}

func add(list []fleet.Member, m fleet.Member) []fleet.Member {
	if slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

func remove(list []fleet.Member, m fleet.Member) []fleet.Member {
	return slices.DeleteFunc(list, func(other fleet.Member) bool { return other == m })
}

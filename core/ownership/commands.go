package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// SetResources replaces the resources that should be held by some instance. Held
// ones that are no longer wanted are stopped.
func (s *State) SetResources(now time.Time, wanted []ResourceSpec) Effects {
	var effects Effects
	listed := make(map[fleet.Resource]bool, len(wanted))
	s.longestWait = 0
	for _, w := range wanted {
		listed[w.Resource] = true
		r := s.get(w.Resource)
		if !r.wanted || r.Domain != w.Domain {
			r.ResourceSpec = w
			r.order = s.computeOrder(r)
			r.elders = elders{}
		}
		r.ResourceSpec = w
		r.wanted = true
		s.longestWait = max(s.longestWait, s.wait(r))
	}
	for _, r := range s.sorted {
		if !listed[r.Resource] {
			s.unwant(now, r, &effects)
		}
	}
	s.resort()
	if s.hasMembers {
		s.noteFenced(now)
	}
	s.ordersStale = true
	s.touch()
	return effects
}

func (s *State) unwant(now time.Time, r *resource, effects *Effects) {
	r.wanted = false
	r.order = nil
	r.holdOff = time.Time{}
	r.yieldedTo = fleet.Member{}
	r.abandon(now)
	s.stop(r, effects)
}

// resort rebuilds the sorted list of resources that are wanted or still held.
func (s *State) resort() {
	s.sorted = s.sorted[:0]
	for _, r := range s.resources {
		if r.wanted || r.hold != notHeld {
			s.sorted = append(s.sorted, r)
		}
	}
	slices.SortFunc(s.sorted, compareNames)
}

// SetMembers takes the current membership. It returns quickly if the
// generation of the view is known already. If this instance has a new
// incarnation, everything held is lost.
func (s *State) SetMembers(now time.Time, view member.View) Effects {
	var effects Effects
	if s.hasMembers && view.Generation() == s.members.Generation() {
		return effects
	}
	rejoined := s.hasMembers && view.Self().Member != s.self.Member
	s.members, s.hasMembers = view, true
	s.self = view.Self()
	if rejoined {
		s.lose(now, &effects)
	}
	previous := s.live
	s.live = newRoster(view.Members())
	s.rank(previous)
	s.noteFenced(now)
	s.forget()
	s.touch()
	return effects
}

// noteFenced lists the fenced members whose work may still be running.
func (s *State) noteFenced(now time.Time) {
	s.fenced = nil
	for _, info := range s.members.Members() {
		if info.Status == member.Fenced && now.Sub(info.EndedAt) < s.longestWait {
			s.fenced = append(s.fenced, info)
		}
	}
}

// forget drops peers and claimants that are not members any more.
func (s *State) forget() {
	unknown := func(m fleet.Member) bool {
		_, ok := s.status(m)
		return !ok
	}
	for m := range s.peers {
		if unknown(m) {
			delete(s.peers, m)
		}
	}
	for name, r := range s.resources {
		r.claimants = slices.DeleteFunc(r.claimants, unknown)
		for i := range r.answers {
			r.answers[i].needs = slices.DeleteFunc(r.answers[i].needs, unknown)
		}
		if !r.wanted && r.hold == notHeld && len(r.claimants) == 0 {
			delete(s.resources, name)
		}
	}
}

// Tick sends the claims that are due. Claims are made only while lease is true.
func (s *State) Tick(now time.Time, lease bool) Effects {
	var effects Effects
	if s.hasMembers {
		s.advance(now, s.mayClaim(now, lease), &effects)
	}
	return effects
}

// HandleClaim answers a claim of another instance.
func (s *State) HandleClaim(now time.Time, message Claim) (ClaimReply, Effects) {
	var effects Effects
	reply := ClaimReply{From: s.self.Member}
	from := message.From
	if !s.hasMembers {
		reply.Answers = refuse(message.Resources)
		return reply, effects
	}
	status, known := s.status(from.Member)
	if !known {
		effects.DiscoveredRecords = append(effects.DiscoveredRecords, from)
	}
	if from.Status.Ended() || known && status.Ended() {
		reply.Answers = refuse(message.Resources)
		return reply, effects
	}
	for _, name := range message.Resources {
		reply.Answers = append(reply.Answers, s.judge(now, s.get(name), from, &effects)...)
	}
	for _, name := range message.Held {
		s.noteHolder(now, s.get(name), from, &effects)
	}
	for _, name := range message.Yielded {
		s.noteYield(s.get(name), from.Member)
	}
	return reply, effects
}

func refuse(names []fleet.Resource) []Answer {
	answers := make([]Answer, 0, len(names))
	for _, name := range names {
		answers = append(answers, Answer{Resource: name, Verdict: Refused})
	}
	return answers
}

// HandleClaimReply takes the reply to a claim of this instance.
func (s *State) HandleClaimReply(now time.Time, sent OutgoingClaim, reply ClaimReply) Effects {
	var effects Effects
	s.settle(now, sent)
	if sent.Message.From.Member == s.self.Member && reply.From == sent.To.Member {
		s.takeReply(sent, reply, &effects)
	}
	return effects
}

// HandleClaimFailure says that a claim got no reply; it is sent again later.
func (s *State) HandleClaimFailure(now time.Time, sent OutgoingClaim) { s.settle(now, sent) }

// settle notes that no message to the peer is in flight any more.
func (s *State) settle(now time.Time, sent OutgoingClaim) {
	if p, ok := s.peers[sent.To.Member]; ok {
		p.waitUntil = now
	}
}

// HandleDrained says that no request for a stopped resource is in flight any more.
func (s *State) HandleDrained(now time.Time, name fleet.Resource) {
	r, ok := s.resources[name]
	if !ok || r.hold != draining {
		return
	}
	r.hold = notHeld
	r.abandon(now)
	if !r.wanted {
		s.resort()
	}
	s.touch()
}

// Release gives a held resource to the next candidate and keeps this instance
// from claiming it again before holdOff has passed. Without another candidate
// it does nothing.
func (s *State) Release(now time.Time, name fleet.Resource, holdOff time.Duration) Effects {
	var effects Effects
	r, ok := s.resources[name]
	if !ok || r.hold != held {
		return effects
	}
	successor := s.next(r)
	if successor.IsZero() {
		return effects
	}
	r.holdOff = now.Add(holdOff)
	r.yieldedTo = successor
	s.stop(r, &effects)
	return effects
}

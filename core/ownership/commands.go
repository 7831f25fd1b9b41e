package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// SetResources replaces the resources that the fleet should hold. Held resources
// that are no longer wanted start draining.
func (s *State) SetResources(now time.Time, wanted []ResourceSpec) Effects {
	var effects Effects
	listed := make(map[fleet.Resource]bool, len(wanted))
	s.maxFenceWait = 0
	for _, spec := range wanted {
		listed[spec.Resource] = true
		r := s.getOrCreate(spec.Resource)
		if !r.wanted || r.Domain != spec.Domain {
			r.ResourceSpec = spec
			r.order = s.computeOrder(r)
			r.earlierCandidates = earlierCandidates{}
		}
		r.ResourceSpec = spec
		r.wanted = true
		s.maxFenceWait = max(s.maxFenceWait, s.fenceWait(r))
	}
	for _, r := range s.sortedResources {
		if !listed[r.Resource] {
			s.removeWanted(now, r, &effects)
		}
	}
	s.rebuildSorted()
	if s.hasView {
		s.refreshRecentlyFenced(now)
	}
	s.ordersStale = true
	s.invalidate()
	return effects
}

func (s *State) removeWanted(now time.Time, r *resource, effects *Effects) {
	r.wanted = false
	r.order = nil
	r.holdOffUntil = time.Time{}
	r.yieldedTo = fleet.Member{}
	r.abandonClaim(now)
	s.startDraining(r, effects)
}

// rebuildSorted rebuilds the sorted list of resources that are wanted or still
// held.
func (s *State) rebuildSorted() {
	s.sortedResources = s.sortedResources[:0]
	for _, r := range s.resources {
		if r.wanted || r.state != notHeld {
			s.sortedResources = append(s.sortedResources, r)
		}
	}
	slices.SortFunc(s.sortedResources, compareNames)
}

// SetMembers sets the current membership. It does nothing if the generation of the
// view has not changed. If this instance has a new incarnation, all held resources
// are lost.
func (s *State) SetMembers(now time.Time, view member.View) Effects {
	var effects Effects
	if s.hasView && view.Generation() == s.view.Generation() {
		return effects
	}
	rejoined := s.hasView && view.Self().Member != s.self.Member
	s.view, s.hasView = view, true
	s.self = view.Self()
	if rejoined {
		s.dropAll(now, &effects)
	}
	previous := s.candidates
	s.candidates = newCandidateSet(view.Members())
	s.updateOrders(previous)
	s.refreshRecentlyFenced(now)
	s.dropUnknownMembers()
	s.invalidate()
	return effects
}

// refreshRecentlyFenced recomputes the list of fenced members whose work may still be
// running.
func (s *State) refreshRecentlyFenced(now time.Time) {
	s.recentlyFenced = nil
	for _, info := range s.view.Members() {
		if info.Status == member.Fenced && now.Sub(info.EndedAt) < s.maxFenceWait {
			s.recentlyFenced = append(s.recentlyFenced, info)
		}
	}
}

// dropUnknownMembers removes members that are not in the view from all peers,
// possible holders and consents.
func (s *State) dropUnknownMembers() {
	unknown := func(m fleet.Member) bool {
		_, ok := s.memberStatus(m)
		return !ok
	}
	for m := range s.peers {
		if unknown(m) {
			delete(s.peers, m)
		}
	}
	for name, r := range s.resources {
		r.possibleHolders = slices.DeleteFunc(r.possibleHolders, unknown)
		for i := range r.consents {
			r.consents[i].possibleHolders = slices.DeleteFunc(r.consents[i].possibleHolders, unknown)
		}
		if !r.wanted && r.state == notHeld && len(r.possibleHolders) == 0 {
			delete(s.resources, name)
		}
	}
}

// Tick sends the messages that are due. Claims are made only while leaseValid is
// true.
func (s *State) Tick(now time.Time, leaseValid bool) Effects {
	var effects Effects
	if s.hasView {
		s.advanceResources(now, s.mayClaim(now, leaseValid), &effects)
	}
	return effects
}

// HandleClaim returns the reply to a claim of another instance and records its
// announcements.
func (s *State) HandleClaim(now time.Time, message Claim) (ClaimReply, Effects) {
	var effects Effects
	reply := ClaimReply{From: s.self.Member}
	sender := message.From
	if !s.hasView {
		reply.Answers = refuseAll(message.Resources)
		return reply, effects
	}
	status, known := s.memberStatus(sender.Member)
	if !known {
		effects.DiscoveredRecords = append(effects.DiscoveredRecords, sender)
	}
	if sender.Status.Ended() || known && status.Ended() {
		reply.Answers = refuseAll(message.Resources)
		return reply, effects
	}
	for _, name := range message.Resources {
		reply.Answers = append(reply.Answers, s.answerClaim(now, s.getOrCreate(name), sender, &effects)...)
	}
	for _, name := range message.Held {
		s.recordHolder(now, s.getOrCreate(name), sender, &effects)
	}
	for _, name := range message.Yielded {
		s.recordYield(s.getOrCreate(name), sender.Member)
	}
	return reply, effects
}

func refuseAll(names []fleet.Resource) []Answer {
	answers := make([]Answer, 0, len(names))
	for _, name := range names {
		answers = append(answers, Answer{Resource: name, Verdict: Refused})
	}
	return answers
}

// HandleClaimReply processes the reply to a claim of this instance.
func (s *State) HandleClaimReply(now time.Time, sent OutgoingClaim, reply ClaimReply) Effects {
	var effects Effects
	s.clearInFlight(now, sent)
	if sent.Message.From.Member == s.self.Member && reply.From == sent.To.Member {
		s.applyReply(sent, reply, &effects)
	}
	return effects
}

// HandleClaimFailure processes a claim without a reply. A later tick sends it again.
func (s *State) HandleClaimFailure(now time.Time, sent OutgoingClaim) { s.clearInFlight(now, sent) }

// clearInFlight records that no message to the peer is in flight.
func (s *State) clearInFlight(now time.Time, sent OutgoingClaim) {
	if pacing, ok := s.peers[sent.To.Member]; ok {
		pacing.inFlightUntil = now
	}
}

// HandleDrained records that a draining resource has no request in flight. From then
// on this instance consents to claims of it.
func (s *State) HandleDrained(now time.Time, name fleet.Resource) {
	r, ok := s.resources[name]
	if !ok || r.state != draining {
		return
	}
	r.state = notHeld
	r.abandonClaim(now)
	if !r.wanted {
		s.rebuildSorted()
	}
	s.invalidate()
}

// Release yields a held resource to the next candidate. This instance does not claim
// it again before holdOff has passed. Without another candidate it does nothing.
func (s *State) Release(now time.Time, name fleet.Resource, holdOff time.Duration) Effects {
	var effects Effects
	r, ok := s.resources[name]
	if !ok || r.state != held {
		return effects
	}
	successor := s.nextCandidate(r)
	if successor.IsZero() {
		return effects
	}
	r.holdOffUntil = now.Add(holdOff)
	r.yieldedTo = successor
	s.startDraining(r, &effects)
	return effects
}

package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// batch collects the message to one peer.
type batch struct {
	to      fleet.Member
	message Claim
}

// batches holds the messages of one tick in the order of their first resources.
type batches struct {
	list  []*batch
	index map[fleet.Member]*batch
}

func (b *batches) getOrCreate(to fleet.Member) *batch {
	if found, ok := b.index[to]; ok {
		return found
	}
	if b.index == nil {
		b.index = make(map[fleet.Member]*batch)
	}
	created := &batch{to: to}
	b.index[to] = created
	b.list = append(b.list, created)
	return created
}

// refreshPending recomputes the pending resources, which are held, draining, in a
// hold-off, or to be claimed by this instance. It abandons claims of resources for
// which this instance no longer ranks first.
func (s *State) refreshPending(now time.Time) {
	if !s.pendingStale {
		return
	}
	s.pendingStale = false
	s.pending = s.pending[:0]
	for _, r := range s.sortedResources {
		if r.state != notHeld || !r.holdOffUntil.IsZero() || s.ranksFirst(r) {
			s.pending = append(s.pending, r)
		} else if len(r.consents) > 0 {
			r.abandonClaim(now)
		}
	}
}

// mayClaim reports whether this instance may claim resources: it must be active and
// settled, with a valid lease.
func (s *State) mayClaim(now time.Time, leaseValid bool) bool {
	settled := now.Sub(s.self.ActiveSince) >= s.options.SettleTime
	return leaseValid && s.self.Status == member.Active && settled
}

// advanceResources processes all pending resources and sends the resulting
// messages.
func (s *State) advanceResources(now time.Time, claiming bool, effects *Effects) {
	s.refreshPending(now)
	var out batches
	for _, r := range s.pending {
		if s.endHoldOff(now, r) {
			continue
		}
		switch {
		case r.state == held:
			s.announceHold(r, &out)
		case r.state == draining || !r.holdOffUntil.IsZero():
			s.offerYield(r, &out)
		case claiming && s.hasAllConsents(now, r):
			s.acquire(r, effects)
			s.announceHold(r, &out)
		case claiming:
			s.requestConsents(r, &out)
		}
	}
	s.sendBatches(now, out.list, effects)
}

func (s *State) acquire(r *resource, effects *Effects) {
	r.state = held
	r.knowsHolder = true
	r.possibleHolders = nil
	r.announcedTo = nil
	s.invalidate()
	effects.Acquired = append(effects.Acquired, r.Resource)
}

// hasAllConsents reports whether all required members have consented and the work
// of fenced members must have ended. A member that lists possible holders consents
// only for itself; their consents are required as well.
func (s *State) hasAllConsents(now time.Time, r *resource) bool {
	if now.Before(s.fencedUntil(r)) {
		return false
	}
	for _, m := range s.requiredConsents(r) {
		if !s.consentsOrEnded(now, r, m) {
			return false
		}
	}
	return true
}

// consentsOrEnded reports whether a member consented or can no longer use the
// resource, because it left or was fenced long enough ago.
func (s *State) consentsOrEnded(now time.Time, r *resource, m fleet.Member) bool {
	if m == s.self.Member || r.hasConsent(m) {
		return true
	}
	info, known := s.view.Lookup(m)
	switch {
	case !known:
		// The member is unknown until the next view, which contains the records
		// discovered in answers.
		return false
	case info.Status == member.Left:
		return true
	case info.Status == member.Fenced:
		return !now.Before(info.EndedAt.Add(s.fenceWait(r)))
	default:
		return false
	}
}

// requestConsents adds the resource to the messages to all required members that
// have not consented.
func (s *State) requestConsents(r *resource, out *batches) {
	for _, m := range s.requiredConsents(r) {
		if r.hasConsent(m) || s.hasEnded(m) {
			continue
		}
		b := out.getOrCreate(m)
		if len(b.message.Resources) < maxBatchResources {
			b.message.Resources = append(b.message.Resources, r.Resource)
		}
	}
}

// announceHold announces to the first other candidates that this instance holds the
// resource, so that members that join and rank before it know the holder.
func (s *State) announceHold(r *resource, out *batches) {
	for _, m := range s.requiredConsents(r) {
		if slices.Contains(r.announcedTo, m) || s.hasEnded(m) {
			continue
		}
		b := out.getOrCreate(m)
		if len(b.message.Held) < maxBatchResources {
			b.message.Held = append(b.message.Held, r.Resource)
		}
	}
}

// sendBatches sends the batches, with at most one message in flight to each peer.
func (s *State) sendBatches(now time.Time, list []*batch, effects *Effects) {
	for _, b := range list {
		info, known := s.view.Lookup(b.to)
		if !known {
			continue
		}
		pacing := s.peers[b.to]
		if pacing == nil {
			pacing = &peerPacing{}
			s.peers[b.to] = pacing
		}
		if now.Before(pacing.nextSendAt) || now.Before(pacing.inFlightUntil) {
			continue
		}
		pacing.nextSendAt, pacing.inFlightUntil = now.Add(sendInterval), now.Add(replyTimeout)
		b.message.From = s.self.Record
		to := member.Peer{Member: b.to, Address: info.PeerAddress}
		effects.Claims = append(effects.Claims, OutgoingClaim{To: to, SentAt: now, Message: b.message})
	}
}

// applyReply records the answers to a claim and the receipt of announcements.
func (s *State) applyReply(sent OutgoingClaim, reply ClaimReply, effects *Effects) {
	for _, name := range sent.Message.Held {
		if r, ok := s.resources[name]; ok && r.state == held && !sent.SentAt.Before(r.claimValidFrom) {
			r.announcedTo = addMember(r.announcedTo, reply.From)
		}
	}
	possibleHolders := make(map[fleet.Resource][]fleet.Member)
	for _, answer := range reply.Answers {
		s.applyAnswer(sent, reply.From, answer, possibleHolders, effects)
	}
}

// applyAnswer records one answer of a reply. Each possible holder of a resource
// comes in an answer of its own, so possibleHolders collects them over all answers
// of the reply.
func (s *State) applyAnswer(
	sent OutgoingClaim, from fleet.Member, answer Answer, possibleHolders map[fleet.Resource][]fleet.Member, effects *Effects,
) {
	r, ok := s.resources[answer.Resource]
	if !ok || r.state != notHeld || sent.SentAt.Before(r.claimValidFrom) {
		return
	}
	switch answer.Verdict {
	case Free:
		r.possibleHolders = removeMember(r.possibleHolders, from)
	case Outranked, Held:
		effects.DiscoveredRecords = append(effects.DiscoveredRecords, answer.Holder)
		if answer.Holder.Member == from {
			// The member claims the resource again if it had yielded it.
			r.yieldedBy = removeMember(r.yieldedBy, from)
			s.pendingStale = true
			return
		}
		possibleHolders[r.Resource] = addMember(possibleHolders[r.Resource], answer.Holder.Member)
	case Draining, Refused:
		return
	}
	r.removeConsent(from)
	r.consents = append(r.consents, consent{from: from, possibleHolders: possibleHolders[r.Resource]})
}

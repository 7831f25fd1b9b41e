package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// batch collects what one peer is sent.
type batch struct {
	to      fleet.Member
	message Claim
}

// batches keeps the messages of one tick in order of their first resource.
type batches struct {
	list  []*batch
	index map[fleet.Member]*batch
}

func (b *batches) get(to fleet.Member) *batch {
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

// refreshBusy lists the resources that need attention and abandons claims that
// this instance is no longer entitled to.
func (s *State) refreshBusy(now time.Time) {
	if !s.busyStale {
		return
	}
	s.busyStale = false
	s.busy = s.busy[:0]
	for _, r := range s.sorted {
		if r.hold != notHeld || !r.holdOff.IsZero() || s.first(r) {
			s.busy = append(s.busy, r)
		} else if len(r.answers) > 0 {
			r.abandon(now)
		}
	}
}

// mayClaim reports whether this instance is entitled to claim at all.
func (s *State) mayClaim(now time.Time, lease bool) bool {
	settled := now.Sub(s.self.ActiveSince) >= s.options.SettleTime
	return lease && s.self.Status == member.Active && settled
}

// advance moves all busy resources on and collects messages.
func (s *State) advance(now time.Time, claiming bool, effects *Effects) {
	s.refreshBusy(now)
	var out batches
	for _, r := range s.busy {
		if s.endHoldOff(now, r) {
			continue
		}
		switch {
		case r.hold == held:
			s.announce(r, &out)
		case r.hold == draining || !r.holdOff.IsZero():
			s.yield(r, &out)
		case claiming && s.ready(now, r):
			s.acquire(r, effects)
			s.announce(r, &out)
		case claiming:
			s.ask(r, &out)
		}
	}
	s.send(now, out.list, effects)
}

func (s *State) acquire(r *resource, effects *Effects) {
	r.hold = held
	r.informed = true
	r.claimants = nil
	r.told = nil
	s.touch()
	effects.Acquired = append(effects.Acquired, r.Resource)
}

// ready reports whether everyone who must be asked has consented. A member that
// names others consents for itself alone; those it names are asked as well.
func (s *State) ready(now time.Time, r *resource) bool {
	if now.Before(s.fencedUntil(r)) {
		return false
	}
	for _, m := range s.asked(r) {
		if !s.agrees(now, r, m) {
			return false
		}
	}
	return true
}

// agrees reports whether a member consented itself or cannot use the resource.
func (s *State) agrees(now time.Time, r *resource, m fleet.Member) bool {
	if m == s.self.Member || r.consented(m) {
		return true
	}
	info, known := s.members.Lookup(m)
	switch {
	case !known:
		// A record learned from an answer is in the next view.
		return false
	case info.Status == member.Left:
		return true
	case info.Status == member.Fenced:
		return !now.Before(info.EndedAt.Add(s.wait(r)))
	default:
		return false
	}
}

// ask collects questions to those who have not consented yet.
func (s *State) ask(r *resource, out *batches) {
	for _, m := range s.asked(r) {
		if r.consented(m) || s.ended(m) {
			continue
		}
		b := out.get(m)
		if len(b.message.Resources) < maxBatch {
			b.message.Resources = append(b.message.Resources, r.Resource)
		}
	}
}

// announce tells the first other candidates that this instance holds the
// resource. Members that join in front of it then know whom to ask.
func (s *State) announce(r *resource, out *batches) {
	for _, m := range s.asked(r) {
		if slices.Contains(r.told, m) || s.ended(m) {
			continue
		}
		b := out.get(m)
		if len(b.message.Held) < maxBatch {
			b.message.Held = append(b.message.Held, r.Resource)
		}
	}
}

// send turns the batches into messages, at most one in flight to each peer.
func (s *State) send(now time.Time, list []*batch, effects *Effects) {
	for _, b := range list {
		info, known := s.members.Lookup(b.to)
		if !known {
			continue
		}
		p := s.peers[b.to]
		if p == nil {
			p = &peer{}
			s.peers[b.to] = p
		}
		if now.Before(p.due) || now.Before(p.waitUntil) {
			continue
		}
		p.due, p.waitUntil = now.Add(askEvery), now.Add(replyWithin)
		b.message.From = s.self.Record
		to := member.Peer{Member: b.to, Address: info.PeerAddress}
		effects.Claims = append(effects.Claims, OutgoingClaim{To: to, SentAt: now, Message: b.message})
	}
}

// takeReply notes the answers to a claim.
func (s *State) takeReply(sent OutgoingClaim, reply ClaimReply, effects *Effects) {
	for _, name := range sent.Message.Held {
		if r, ok := s.resources[name]; ok && r.hold == held && !sent.SentAt.Before(r.validFrom) {
			r.told = add(r.told, reply.From)
		}
	}
	named := make(map[fleet.Resource][]fleet.Member)
	for _, given := range reply.Answers {
		s.takeAnswer(sent, reply.From, given, named, effects)
	}
}

// takeAnswer notes one answer. Named collects the possible holders by resource,
// since each comes in an answer of its own.
func (s *State) takeAnswer(
	sent OutgoingClaim, from fleet.Member, given Answer, named map[fleet.Resource][]fleet.Member, effects *Effects,
) {
	r, ok := s.resources[given.Resource]
	if !ok || r.hold != notHeld || sent.SentAt.Before(r.validFrom) {
		return
	}
	switch given.Verdict {
	case Free:
		r.claimants = remove(r.claimants, from)
	case Outranked, Held:
		effects.DiscoveredRecords = append(effects.DiscoveredRecords, given.Holder)
		if given.Holder.Member == from {
			// The yield, if there was one, is over.
			r.yielders = remove(r.yielders, from)
			s.busyStale = true
			return
		}
		named[r.Resource] = add(named[r.Resource], given.Holder.Member)
	case Draining, Refused:
		return
	}
	r.retract(from)
	r.answers = append(r.answers, answer{from: from, needs: named[r.Resource]})
}

package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// judge answers a claim of one resource.
func (s *State) judge(now time.Time, r *resource, from member.Record, effects *Effects) []Answer {
	r.retract(from.Member)
	r.yielders = remove(r.yielders, from.Member)
	if s.outranks(now, r, from) {
		// The claimant may hold the resource, so it must be asked later.
		if r.hold == notHeld {
			r.noteClaimant(from.Member)
		}
		return []Answer{{Resource: r.Resource, Verdict: Outranked, Holder: s.self.Record}}
	}
	if r.hold != notHeld {
		s.stop(r, effects)
		r.noteClaimant(from.Member)
		return []Answer{{Resource: r.Resource, Verdict: Draining}}
	}
	answers := s.nameHolders(r, from)
	r.noteClaimant(from.Member)
	r.abandon(now)
	if len(answers) == 0 {
		return []Answer{{Resource: r.Resource, Verdict: Free}}
	}
	return answers
}

// nameHolders names the others that may hold the resource. If this instance was
// never told of a holder, these are also the elders.
func (s *State) nameHolders(r *resource, from member.Record) []Answer {
	var answers []Answer
	claimant := r.rate(from.Member, from.Domain)
	named := slices.Clone(r.claimants)
	for _, m := range s.elders(r) {
		named = add(named, m)
	}
	for _, m := range named {
		info, known := s.members.Lookup(m)
		if m == from.Member || m == s.self.Member || !known || info.Status.Ended() {
			continue
		}
		verdict := Held
		if info.Status == member.Active && r.rate(m, info.Domain).before(claimant) {
			verdict = Outranked
		}
		answers = append(answers, Answer{Resource: r.Resource, Verdict: verdict, Holder: info.Record})
	}
	return answers
}

// outranks reports whether this instance comes before the claimant and is
// itself entitled to the resource.
func (s *State) outranks(now time.Time, r *resource, from member.Record) bool {
	if !r.wanted || s.self.Status != member.Active || now.Before(r.holdOff) {
		return false
	}
	return r.rate(s.self.Member, s.self.Domain).before(r.rate(from.Member, from.Domain))
}

// stop ends new work for a held resource.
func (s *State) stop(r *resource, effects *Effects) {
	if r.hold != held {
		return
	}
	r.hold = draining
	s.touch()
	effects.Drain = append(effects.Drain, r.Resource)
}

// noteHolder takes the announcement of a holder. If this instance holds the
// resource as well, the one that comes later in order stops.
func (s *State) noteHolder(now time.Time, r *resource, from member.Record, effects *Effects) {
	r.retract(from.Member)
	if r.hold == held && !s.outranks(now, r, from) {
		s.stop(r, effects)
	}
	if r.hold != held {
		r.claimants = []fleet.Member{from.Member}
		r.informed = true
	}
}

// noteYield lets this instance claim a resource although the sender comes first.
func (s *State) noteYield(r *resource, from fleet.Member) {
	if r.hold == notHeld && !slices.Contains(r.yielders, from) {
		r.yielders = append(r.yielders, from)
		s.busyStale = true
	}
}

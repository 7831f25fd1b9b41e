package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// nextCandidate returns the first other active candidate; zero if there is none.
func (s *State) nextCandidate(r *resource) fleet.Member {
	for _, c := range r.order {
		status, _ := s.memberStatus(c.member)
		if c.member != s.self.Member && status == member.Active {
			return c.member
		}
	}
	return fleet.Member{}
}

// offerYield announces a released resource to the next candidate until the candidate
// claims it.
func (s *State) offerYield(r *resource, out *batches) {
	if r.holdOffUntil.IsZero() {
		return
	}
	if s.hasEnded(r.yieldedTo) {
		r.yieldedTo = s.nextCandidate(r)
		s.snapshot = nil
	}
	if r.yieldedTo.IsZero() || slices.Contains(r.possibleHolders, r.yieldedTo) {
		return
	}
	b := out.getOrCreate(r.yieldedTo)
	if len(b.message.Yielded) < maxBatchResources {
		b.message.Yielded = append(b.message.Yielded, r.Resource)
	}
}

// endHoldOff ends the hold-off of a released resource when it has passed, and
// reports whether it ended now.
func (s *State) endHoldOff(now time.Time, r *resource) bool {
	if r.holdOffUntil.IsZero() || now.Before(r.holdOffUntil) {
		return false
	}
	r.holdOffUntil = time.Time{}
	r.yieldedTo = fleet.Member{}
	s.invalidate()
	return true
}

// dropAll discards the resources that an earlier incarnation held or claimed. The
// possible holders remain, since they protect the resources of other members.
func (s *State) dropAll(now time.Time, effects *Effects) {
	for _, r := range s.sortedResources {
		if r.state != notHeld {
			effects.Lost = append(effects.Lost, r.Resource)
		}
		r.state = notHeld
		r.holdOffUntil = time.Time{}
		r.yieldedTo = fleet.Member{}
		r.yieldedBy = nil
		r.knowsHolder = false
		r.abandonClaim(now)
	}
	s.invalidate()
}

package ownership

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// next returns the candidate that takes over from this instance; zero if there
// is none.
func (s *State) next(r *resource) fleet.Member {
	for _, p := range r.order {
		status, _ := s.status(p.member)
		if p.member != s.self.Member && status == member.Active {
			return p.member
		}
	}
	return fleet.Member{}
}

// yield offers a released resource to the next candidate until that claims it.
func (s *State) yield(r *resource, out *batches) {
	if r.holdOff.IsZero() {
		return
	}
	if s.ended(r.yieldedTo) {
		r.yieldedTo = s.next(r)
		s.snapshot = nil
	}
	if r.yieldedTo.IsZero() || slices.Contains(r.claimants, r.yieldedTo) {
		return
	}
	b := out.get(r.yieldedTo)
	if len(b.message.Yielded) < maxBatch {
		b.message.Yielded = append(b.message.Yielded, r.Resource)
	}
}

// endHoldOff lets this instance claim a released resource again; it reports
// whether the hold-off has just ended.
func (s *State) endHoldOff(now time.Time, r *resource) bool {
	if r.holdOff.IsZero() || now.Before(r.holdOff) {
		return false
	}
	r.holdOff = time.Time{}
	r.yieldedTo = fleet.Member{}
	s.touch()
	return true
}

// lose drops everything that an earlier incarnation held or claimed. What is
// known of others remains, since it protects their holds.
func (s *State) lose(now time.Time, effects *Effects) {
	for _, r := range s.sorted {
		if r.hold != notHeld {
			effects.Lost = append(effects.Lost, r.Resource)
		}
		r.hold = notHeld
		r.holdOff = time.Time{}
		r.yieldedTo = fleet.Member{}
		r.yielders = nil
		r.informed = false
		r.abandon(now)
	}
	s.touch()
}

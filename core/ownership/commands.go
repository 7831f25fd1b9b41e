package ownership

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// Options set up a State. Zero values take the defaults.
type Options struct {
	// Settle is how long an instance must be active before it claims.
	Settle time.Duration
	// ClockSkew is the disagreement of wall clocks, added to the largest
	// deadline after a fencing.
	ClockSkew time.Duration
	// Asked is how many other candidates must consent.
	Asked int
}

// State is the ownership state of one instance.
type State struct{}

// New returns a state that holds nothing.
func New(options Options) *State { return &State{} }

// SetWanted replaces the resources that should be held by some instance.
func (s *State) SetWanted(now time.Time, wanted []Wanted) Effects { return Effects{} }

// SetMembers takes the current membership. It returns quickly if the
// generation of the view is known already. If this instance has a new
// incarnation, everything held is lost.
func (s *State) SetMembers(now time.Time, view member.View) Effects { return Effects{} }

// Tick sends the claims that are due. Claims are made only while lease is true.
func (s *State) Tick(now time.Time, lease bool) Effects { return Effects{} }

// HandleClaim answers a claim of another instance.
func (s *State) HandleClaim(now time.Time, message Claim) (ClaimReply, Effects) {
	return ClaimReply{}, Effects{}
}

// HandleClaimReply takes the reply to a claim of this instance.
func (s *State) HandleClaimReply(now time.Time, sent ClaimOut, reply ClaimReply) Effects {
	return Effects{}
}

// ClaimFailed says that a claim got no reply; it is sent again later.
func (s *State) ClaimFailed(now time.Time, sent ClaimOut) {}

// Drained says that no request for a stopped resource is in flight any more.
func (s *State) Drained(now time.Time, resource fleet.Resource) {}

// Release gives a held resource to the next candidate and keeps this instance
// from claiming it again before holdOff has passed.
func (s *State) Release(now time.Time, resource fleet.Resource, holdOff time.Duration) Effects {
	return Effects{}
}

// View returns the current state as an immutable value. It is cheap when
// nothing changed since the last call.
func (s *State) View() View { return View{} }

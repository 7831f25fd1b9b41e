package ownership

import (
	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// View is an immutable value; queries on it are safe for concurrent use.
type View struct{}

// Holds reports whether this instance may send new work to the resource. Lease
// says whether its lease is valid.
func (v View) Holds(resource fleet.Resource, lease bool) bool { return false }

// Held returns the resources that Holds reports, in order of name.
func (v View) Held(lease bool) []fleet.Resource { return nil }

// Owner returns the member that is expected to hold the resource. It reports
// false if the resource is not wanted or nobody is eligible.
func (v View) Owner(resource fleet.Resource) (member.Record, bool) { return member.Record{}, false }

// Candidates returns the first candidates of a resource in order, the expected
// owner included. The order is complete only in its first few places.
func (v View) Candidates(resource fleet.Resource) []member.Record { return nil }

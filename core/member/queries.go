package member

import (
	"time"

	"galenaridge/core/fleet"
)

// Info is a record with what this instance observed about it.
type Info struct {
	Record
	// FirstSeen is when this instance learned of the member.
	FirstSeen time.Time
	// ActiveSince is when this instance learned that the member is active; zero
	// if it never was.
	ActiveSince time.Time
	// EndedAt is when this instance learned that the member left or was fenced;
	// zero if neither.
	EndedAt time.Time
	// Suspected means that this instance currently gets no answer from it.
	Suspected bool
}

// View is an immutable value; queries on it are safe for concurrent use.
type View struct{}

// Generation changes whenever a record or an Info in the view changes; it does
// not change with the lease.
func (v View) Generation() uint64 { return 0 }

// Self returns the record of this instance's current incarnation.
func (v View) Self() Record { return Record{} }

// LeaseUntil returns when the lease ends unless renewed; zero if there is none.
func (v View) LeaseUntil() time.Time { return time.Time{} }

// LeaseValid reports whether the lease is valid at now.
func (v View) LeaseValid(now time.Time) bool { return false }

// Former returns the earlier incarnations of this process, oldest first.
func (v View) Former() []fleet.Member { return nil }

// Members returns all known records in order of id and incarnation. The slice
// is shared and must not be modified.
func (v View) Members() []Info { return nil }

// Lookup returns what is known about one incarnation.
func (v View) Lookup(m fleet.Member) (Info, bool) { return Info{}, false }

// Find returns the incarnation of the instance that has not ended.
func (v View) Find(id fleet.InstanceID) (Info, bool) { return Info{}, false }

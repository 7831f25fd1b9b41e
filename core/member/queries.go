package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Info is a record with the observations of this instance about it.
type Info struct {
	Record
	// FirstSeen is when this instance first received the record.
	FirstSeen time.Time
	// ActiveSince is when this instance first had the member as active or leaving;
	// zero if it never did.
	ActiveSince time.Time
	// EndedAt is when this instance first had the member as left or fenced; zero if
	// the member has not ended.
	EndedAt time.Time
	// Suspected means that the member currently does not send or acknowledge
	// heartbeats.
	Suspected bool
}

// snapshot is the part of a view that changes only with the records.
type snapshot struct {
	generation         uint64
	self               Info
	formerIncarnations []fleet.Member
	members            []Info
}

// View is an immutable copy of the membership; queries on it are safe for
// concurrent use.
type View struct {
	snapshot   *snapshot
	leaseUntil time.Time
}

// View returns the current state as an immutable value. It copies the records only
// if one changed since the last call.
func (s *State) View() View {
	if s.snapshot == nil {
		members := make([]Info, 0, len(s.sortedEntries))
		for _, e := range s.sortedEntries {
			members = append(members, e.Info)
		}
		s.snapshot = &snapshot{
			generation:         s.generation,
			self:               s.self.Info,
			formerIncarnations: slices.Clone(s.formerIncarnations),
			members:            members,
		}
	}
	return View{snapshot: s.snapshot, leaseUntil: s.leaseUntil}
}

// Generation returns a number that changes whenever an Info in the view changes. It
// does not change with the lease.
func (v View) Generation() uint64 { return v.snapshot.generation }

// Self returns the record of this instance's current incarnation.
func (v View) Self() Info { return v.snapshot.self }

// LeaseUntil returns when the lease ends unless renewed; zero if there is none.
func (v View) LeaseUntil() time.Time { return v.leaseUntil }

// LeaseValid reports whether the lease is valid at now.
func (v View) LeaseValid(now time.Time) bool { return now.Before(v.leaseUntil) }

// FormerIncarnations returns the earlier incarnations of this process, oldest
// first. The slice is shared and must not be modified.
func (v View) FormerIncarnations() []fleet.Member { return v.snapshot.formerIncarnations }

// Members returns all known records, ended ones included, sorted by id and
// incarnation. The slice is shared and must not be modified.
func (v View) Members() []Info { return v.snapshot.members }

// Lookup returns the record of one incarnation; false if it is unknown.
func (v View) Lookup(m fleet.Member) (Info, bool) {
	i, found := slices.BinarySearchFunc(v.snapshot.members, m, compareInfo)
	if !found {
		return Info{}, false
	}
	return v.snapshot.members[i], true
}

// CurrentIncarnation returns the record of the instance's incarnation that has not
// ended, or false if there is none. If there are several, it returns the one seen
// last.
func (v View) CurrentIncarnation(id fleet.InstanceID) (Info, bool) {
	members := v.snapshot.members
	i, _ := slices.BinarySearchFunc(members, fleet.Member{ID: id}, compareInfo)
	var latest Info
	found := false
	for ; i < len(members) && members[i].Member.ID == id; i++ {
		info := members[i]
		if info.Status.Ended() || found && info.FirstSeen.Before(latest.FirstSeen) {
			continue
		}
		latest, found = info, true
	}
	return latest, found
}

func compareInfo(info Info, m fleet.Member) int { return info.Member.Compare(m) }

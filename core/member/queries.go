package member

import (
	"slices"
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

// snapshot is the part of a view that changes only with the records.
type snapshot struct {
	generation uint64
	self       Info
	former     []fleet.Member
	members    []Info
}

// View is an immutable value; queries on it are safe for concurrent use.
type View struct {
	records *snapshot
	lease   time.Time
}

// View returns the current state as an immutable value. It is cheap when no
// record changed since the last call.
func (s *State) View() View {
	if s.snapshot == nil {
		members := make([]Info, 0, len(s.sorted))
		for _, e := range s.sorted {
			members = append(members, e.Info)
		}
		s.snapshot = &snapshot{
			generation: s.generation,
			self:       s.self.Info,
			former:     slices.Clone(s.former),
			members:    members,
		}
	}
	return View{records: s.snapshot, lease: s.lease}
}

// Generation changes whenever a record or an Info in the view changes; it does
// not change with the lease.
func (v View) Generation() uint64 { return v.records.generation }

// Self returns the current incarnation of this instance.
func (v View) Self() Info { return v.records.self }

// LeaseUntil returns when the lease ends unless renewed; zero if there is none.
func (v View) LeaseUntil() time.Time { return v.lease }

// LeaseValid reports whether the lease is valid at now.
func (v View) LeaseValid(now time.Time) bool { return now.Before(v.lease) }

// FormerIncarnations returns the earlier incarnations of this process, oldest first. The
// slice is shared and must not be modified.
func (v View) FormerIncarnations() []fleet.Member { return v.records.former }

// Members returns all known records in order of id and incarnation. The slice
// is shared and must not be modified.
func (v View) Members() []Info { return v.records.members }

// Lookup returns what is known about one incarnation.
func (v View) Lookup(m fleet.Member) (Info, bool) {
	i, found := slices.BinarySearchFunc(v.records.members, m, compareInfo)
	if !found {
		return Info{}, false
	}
	return v.records.members[i], true
}

// CurrentIncarnation returns the incarnation of the instance that has not ended; the latest
// one seen if there are several.
func (v View) CurrentIncarnation(id fleet.InstanceID) (Info, bool) {
	members := v.records.members
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

package workset

import (
	"slices"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Role -transform=kebab -text -yaml=false -output=enums_enumer.go

// Role is the part that an instance has.
type Role uint8

const (
	// Idle instances serve only callers with an old answer of the directory.
	Idle Role = iota
	// Standby instances are the next to be active.
	Standby
	// Active instances serve callers.
	Active
)

// View is the immutable order of the instances.
type View struct {
	// domains holds the active instances of each failure domain.
	domains map[fleet.Domain][]Heartbeat
	standby map[fleet.Domain]bool
	// used holds the active and the standby instances.
	used   map[fleet.InstanceID]bool
	place  Role
	rank   int
	reader bool
	live   int
}

// View returns the order as of the last Publish. It is never nil.
func (s *State) View() *View { return s.view }

// Role returns the part of this instance.
func (v *View) Role() Role { return v.place }

// Rank returns the position of this instance in its failure domain, from 0.
func (v *View) Rank() int { return v.rank }

// IsStoreReader reports whether this instance is the first in its failure domain that
// the store answers, as far as is known.
func (v *View) IsStoreReader() bool { return v.reader }

// LivePeerCount returns the number of other instances that are live.
func (v *View) LivePeerCount() int { return v.live }

// uses reports whether an instance is active or stands by.
func (v *View) uses(id fleet.InstanceID) bool { return v.used[id] }

// ActiveCount returns the number of active instances.
func (v *View) ActiveCount() int {
	count := 0
	for _, list := range v.domains {
		count += len(list)
	}
	return count
}

// ActiveFor returns the instances to which callers of a failure domain should
// connect: the ready ones there, else those of all failure domains.
func (v *View) ActiveFor(domain fleet.Domain) []Heartbeat {
	if near := ready(v.domains[domain]); len(near) > 0 {
		return near
	}
	var all []Heartbeat
	for _, name := range sortedDomains(v.domains) {
		all = append(all, ready(v.domains[name])...)
	}
	if len(all) > 0 {
		return all
	}
	return v.domains[domain]
}

// Random gives random numbers.
type Random interface {
	Float64() float64
}

// Assign returns the instances that one caller is told to use. Callers take one of
// them at random, so a small machine is named only to a part of them: it would be
// overloaded by as many requests as a large one gets.
func (v *View) Assign(domain fleet.Domain, random Random) []Heartbeat {
	active := v.ActiveFor(domain)
	largest := 0.0
	for _, beat := range active {
		largest = max(largest, beat.Cores)
	}
	named := make([]Heartbeat, 0, len(active))
	for _, beat := range active {
		if beat.Cores >= largest || random.Float64()*largest < beat.Cores {
			named = append(named, beat)
		}
	}
	return named
}

func (v *View) addresses() []fleet.Address {
	var addresses []fleet.Address
	for _, name := range sortedDomains(v.domains) {
		for _, beat := range v.domains[name] {
			addresses = append(addresses, beat.CallerAddress)
		}
	}
	return addresses
}

func ready(beats []Heartbeat) []Heartbeat {
	var list []Heartbeat
	for _, beat := range beats {
		if beat.Ready {
			list = append(list, beat)
		}
	}
	return list
}

func sortedDomains(domains map[fleet.Domain][]Heartbeat) []fleet.Domain {
	names := make([]fleet.Domain, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AllActive returns the active instances of all failure domains.
func (v *View) AllActive() []Heartbeat {
	var all []Heartbeat
	for _, name := range sortedDomains(v.domains) {
		all = append(all, v.domains[name]...)
	}
	return all
}

package workset

import (
	"slices"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Role -transform=kebab -text -yaml=false -output=enums_enumer.go

// Role is what an instance does in the working set.
type Role uint8

const (
	// Idle instances serve only callers that still use an earlier assignment.
	Idle Role = iota
	// Standby instances are the next to become active.
	Standby
	// Active instances are assigned to callers.
	Active
)

// View is the immutable working set of the fleet and the position of this instance in
// it.
type View struct {
	// active holds the active instances of each failure domain, in order of rank.
	active map[fleet.Domain][]Heartbeat
	// hasStandby holds the failure domains that have a standby instance.
	hasStandby map[fleet.Domain]bool
	// inUse holds the active and the standby instances.
	inUse       map[fleet.InstanceID]bool
	role        Role
	rank        int
	storeReader bool
	// readerAhead is set if an instance that ranks before this one reads the store.
	readerAhead bool
	livePeers   int
	// size is the number of known instances, and heard the number of those in contact.
	size  int
	heard int
	// fleetUnknown is set while this instance has not heard from any other one of the fleet.
	fleetUnknown bool
}

// View returns the working set as of the last UpdateView. It is never nil.
func (s *State) View() *View { return s.view }

// Role returns the role of this instance.
func (v *View) Role() Role { return v.role }

// Rank returns the position of this instance in the order of its failure domain,
// from 0.
func (v *View) Rank() int { return v.rank }

// IsStoreReader reports whether this instance is the first in its failure domain that
// can reach the store, according to the last heartbeats.
func (v *View) IsStoreReader() bool { return v.storeReader }

// HasReaderAhead reports whether an instance of the failure domain that ranks before this one
// reads the store, according to its last heartbeat. All instances there rank before one that
// leaves.
func (v *View) HasReaderAhead() bool { return v.readerAhead }

// LivePeerCount returns the number of live instances, without this one.
func (v *View) LivePeerCount() int { return v.livePeers }

// Size returns the number of known instances of the fleet, with this one. Instances that
// left in a planned stop are not counted.
func (v *View) Size() int { return v.size }

// HeardCount returns the number of instances of the fleet that this instance, or one of
// their failure domain that it is in contact with, heard from lately.
func (v *View) HeardCount() int { return v.heard }

// IsFleetUnknown reports whether this instance has started, its seeds name others, and none of
// them was heard yet. It must not take itself for the whole fleet then: seeds may be lost while
// any number of other instances runs.
func (v *View) IsFleetUnknown() bool { return v.fleetUnknown }

// HasMajority reports whether this instance is in contact with more than half of the fleet.
func (v *View) HasMajority() bool { return !v.fleetUnknown && 2*v.heard > v.size }

// isInUse reports whether an instance is active or the standby.
func (v *View) isInUse(id fleet.InstanceID) bool { return v.inUse[id] }

// minAttendedRate is the number of requests per second below which the active instances of
// a failure domain have too few to keep the servers there in use.
const minAttendedRate = 1.0

// IsAttended reports whether a failure domain has active instances that get requests.
func (v *View) IsAttended(domain fleet.Domain) bool {
	rate := 0.0
	for _, heartbeat := range v.active[domain] {
		rate += heartbeat.RequestRate
	}
	return rate >= minAttendedRate
}

// ActiveCount returns the number of active instances.
func (v *View) ActiveCount() int {
	count := 0
	for _, list := range v.active {
		count += len(list)
	}
	return count
}

// ActiveFor returns the active instances to which callers of a failure domain should
// connect: the ready ones of that failure domain, or else the ready ones of all failure
// domains. If no active instance is ready anywhere, it returns the active instances of
// that failure domain.
func (v *View) ActiveFor(domain fleet.Domain) []Heartbeat {
	if local := readyOnly(v.active[domain]); len(local) > 0 {
		return local
	}
	var all []Heartbeat
	for _, name := range sortedDomains(v.active) {
		all = append(all, readyOnly(v.active[name])...)
	}
	if len(all) > 0 {
		return all
	}
	return v.active[domain]
}

// Random returns random numbers from 0 up to, but not including, 1.
type Random interface {
	Float64() float64
}

// Assign returns the instances that are assigned to one caller. Callers choose one of
// them at random, so a small machine is assigned only to some callers: with as many
// callers as a large machine, it would be overloaded.
func (v *View) Assign(domain fleet.Domain, random Random) []Heartbeat {
	active := v.ActiveFor(domain)
	largest := 0.0
	for _, heartbeat := range active {
		largest = max(largest, heartbeat.Cores)
	}
	assigned := make([]Heartbeat, 0, len(active))
	for _, heartbeat := range active {
		if heartbeat.Cores >= largest || random.Float64()*largest < heartbeat.Cores {
			assigned = append(assigned, heartbeat)
		}
	}
	return assigned
}

// activeAddresses returns the caller addresses of the active instances of all failure
// domains, in order.
func (v *View) activeAddresses() []fleet.Address {
	var addresses []fleet.Address
	for _, name := range sortedDomains(v.active) {
		for _, heartbeat := range v.active[name] {
			addresses = append(addresses, heartbeat.CallerAddress)
		}
	}
	return addresses
}

func readyOnly(heartbeats []Heartbeat) []Heartbeat {
	var list []Heartbeat
	for _, heartbeat := range heartbeats {
		if heartbeat.Ready {
			list = append(list, heartbeat)
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
	for _, name := range sortedDomains(v.active) {
		all = append(all, v.active[name]...)
	}
	return all
}

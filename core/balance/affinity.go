package balance

import (
	"math"
	"strconv"
	"time"

	"galenaridge/core/fleet"
)

// The active instances of a failure domain choose at the same moment, and what they know of
// each other's requests is about a tenth of a second old. With the same costs they would send
// to the same servers. Therefore each instance has an affinity to a part of the servers of its
// failure domain: rendezvous hashing ranks the instances for each server, and every rank costs
// an instance a little. Each uses the servers for which it is first while they are free, and
// the instances spill over in different orders. A server gets most of its requests from one
// instance, which knows them without delay and reuses its connections.
//
// The ranks follow from the server and the active instances alone. Instances that disagree on
// these only prefer other servers than intended: the cost of a rank is less than that of any
// known load, failure or failure domain that matters, and excludes no server.
//
// Where costs are equal, each instance takes the servers in an order of its own. After a
// restart of all instances, none has a rank or an estimate that differs, and with one order
// all of them would send their first requests to the same server.

const (
	// affinityCost is the cost of a server for which this instance is last. It equals that
	// of occupied slots, and it is below the cost of another failure domain, so that
	// requests do not leave the own one for it.
	affinityCost = 0.01
	// sharedTrialUtilization is the utilization up to which an instance leaves trials to the
	// one that is first for the server. Above it, each instance tries servers itself, because
	// the capacity of all of them is needed soon.
	sharedTrialUtilization = 0.6
)

// SetActive sets the active instances of the failure domain of this instance.
func (p *Pool) SetActive(active []fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = active
	p.assignAffinity()
}

// assignAffinity computes the rank of this instance for each server of its failure domain.
func (p *Pool) assignAffinity() {
	for _, s := range p.live {
		resource := s.resource()
		s.order = float64(fleet.RendezvousScore(p.options.Instance, resource)) / math.MaxUint64
		s.affinityRank = 0
		s.shared = s.local && len(p.active) > 1
		if s.shared {
			s.affinityRank = p.rankForAffinity(resource) / float64(len(p.active)-1)
		}
	}
}

// rankForAffinity returns the number of active instances that are before this one in the
// rendezvous order for a server.
func (p *Pool) rankForAffinity(resource fleet.Resource) float64 {
	own, rank := fleet.RendezvousScore(p.options.Instance, resource), 0
	for _, other := range p.active {
		if other != p.options.Instance && fleet.RendezvousScore(other, resource) > own {
			rank++
		}
	}
	return float64(min(rank, len(p.active)-1))
}

// resource returns the name of the server in rendezvous orders.
func (s *server) resource() fleet.Resource {
	return fleet.Resource(strconv.FormatUint(uint64(s.key), 36))
}

// hasAffinity reports whether this instance is the first of its failure domain for the server.
func (s *server) hasAffinity() bool { return s.affinityRank == 0 }

// leavesTrial reports whether this instance leaves trials of a server to the instance that is
// first for it. It does not while nobody has sent a request to the server for an interval: that
// instance may be gone or cut off.
func (s *server) leavesTrial(now time.Time, interval time.Duration) bool {
	return !s.hasAffinity() && (s.remote(now).outstanding > 0 || now.Sub(s.lastRequestAt(now)) < interval)
}

package workset

import (
	"time"

	"galenaridge/core/fleet"
)

// domainCount is the number of instances of a failure domain that are known and in contact.
type domainCount struct {
	size  int
	heard int
	// reported is set if an instance of the failure domain counted.
	reported bool
}

// PeerAddress returns the peer address of another instance, or false if it is not known.
func (s *State) PeerAddress(id fleet.InstanceID) (fleet.Address, bool) {
	p, found := s.peers[id]
	if !found {
		return "", false
	}
	return p.heartbeat.PeerAddress, true
}

// countInstances counts the known instances of the fleet and those in contact. Instances of
// other failure domains rarely send heartbeats to this one, so they are counted by the
// instances there.
func (s *State) countInstances(now time.Time, v *View) {
	// Who is silent for forgetAfter is forgotten, also if it was never heard.
	v.fleetUnknown = s.contactAt.IsZero() && s.seedsNameOthers && now.Sub(s.options.Start) <= forgetAfter
	own := s.countDomain(now)
	s.self.DomainSize, s.self.DomainHeard = own.size, own.heard
	v.size, v.heard = own.size, own.heard
	for _, count := range s.countOtherDomains(now) {
		v.size += count.size
		v.heard += count.heard
	}
}

// countDomain counts the instances of the own failure domain.
func (s *State) countDomain(now time.Time) domainCount {
	count := domainCount{size: 1, heard: 1}
	for _, p := range s.peers {
		if p.heartbeat.Domain != s.self.Domain || p.heartbeat.Leaving {
			continue
		}
		count.size++
		if now.Sub(p.lastSeenAt) <= contactTimeout {
			count.heard++
		}
	}
	return count
}

// countOtherDomains returns the counts of the other failure domains. Of several counts the
// one of the instance that knows most is taken, since a new instance knows few. A failure
// domain that was not heard from lately is not in contact. Instances of earlier releases do
// not count; those that are known are counted one by one.
func (s *State) countOtherDomains(now time.Time) map[fleet.Domain]domainCount {
	counts := make(map[fleet.Domain]domainCount)
	reporting := make(map[fleet.Domain]bool)
	for _, p := range s.peers {
		if now.Sub(p.reportedAt) <= reportMemory {
			reporting[p.heartbeat.Domain] = true
		}
	}
	for _, p := range s.peers {
		domain := p.heartbeat.Domain
		if domain == s.self.Domain || p.heartbeat.Leaving {
			continue
		}
		count := counts[domain]
		switch size := p.heartbeat.DomainSize; {
		case size > 0:
			if !count.reported {
				count = domainCount{reported: true}
			}
			count.size = max(count.size, size)
			if p.inContact(now, reporting[domain]) {
				count.heard = max(count.heard, p.heartbeat.DomainHeard)
			}
		case !count.reported:
			count.size++
			if p.live(now) {
				count.heard++
			}
		}
		counts[domain] = count
	}
	return counts
}

// inContact reports whether an instance of another failure domain was heard from lately. If
// instances of its failure domain send reports, which are frequent, that is a short time.
func (p *peer) inContact(now time.Time, reporting bool) bool {
	timeout := min(2*p.heartbeat.Interval+contactMargin, maxRemoteSilence)
	if reporting {
		timeout = contactTimeout
	}
	return now.Sub(p.lastSeenAt) <= timeout || now.Sub(p.reportedAt) <= timeout
}

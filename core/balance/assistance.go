package balance

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"galenaridge/core/fleet"
)

// A failure domain often has one active instance. What that instance sees of a server may be
// due to the path between the two: it cannot reach the server, or its requests get no
// response. The other instances can use such a server, and know best whether it is healthy.
// Therefore an instance reports that it withholds requests from a server of its own failure
// domain, and instances of a few other failure domains assist: they test and cover it.

const (
	// assistingDomains is the number of failure domains that assist with a server. One of
	// them may be cut off from the server too.
	assistingDomains = 2
	// requestsPerAssistance bounds the share of requests that cover servers of other failure
	// domains: one in so many. These servers may be gone.
	requestsPerAssistance = 5
)

// SetUnattended sets the failure domains that have no active instance that gets requests.
// This instance covers their servers as well.
func (p *Pool) SetUnattended(domains map[fleet.Domain]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unattended = domains
	p.assignAssistance()
}

// covers reports whether this instance covers the servers of a failure domain.
func (p *Pool) covers(domain fleet.Domain) bool {
	return domain == p.options.Domain || p.unattended[domain]
}

// assists reports whether this instance uses a server of another failure domain because the
// instances there withhold requests.
func (p *Pool) assists(now time.Time, s *server) bool {
	return s.assisted && s.remote(now).withheld
}

// assignAssistance determines the servers that this instance may have to assist with. Each
// instance gets the same result for the same servers and unattended failure domains.
func (p *Pool) assignAssistance() {
	var domains []fleet.Domain
	for _, s := range p.live {
		if !slices.Contains(domains, s.info.Domain) && !p.unattended[s.info.Domain] {
			domains = append(domains, s.info.Domain)
		}
	}
	for _, s := range p.live {
		s.assisted = !p.covers(s.info.Domain) && p.rankForAssistance(s, domains) < assistingDomains
	}
}

// rankForAssistance returns the position of the failure domain of this instance in the
// rendezvous order of the other failure domains for a server.
func (p *Pool) rankForAssistance(s *server, domains []fleet.Domain) int {
	own, rank := assistanceWeight(s.key, p.options.Domain), 0
	for _, domain := range domains {
		if domain != s.info.Domain && domain != p.options.Domain && assistanceWeight(s.key, domain) > own {
			rank++
		}
	}
	return rank
}

func assistanceWeight(key ServerKey, domain fleet.Domain) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(domain))
	_, _ = h.Write(strconv.AppendUint(nil, uint64(key), 36))
	return h.Sum32()
}

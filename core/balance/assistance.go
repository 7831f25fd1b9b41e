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
	requestsPerAssistance = 3
	// maxAssistanceFailures is the share of failures among the requests with which an instance
	// assists above which the servers fail rather than the paths to them, so that assistance
	// is of little use.
	maxAssistanceFailures = 0.3
	// helpFailureShare is the share of failed requests at which an instance needs help with
	// suspected servers. The suspected servers of a service that fails fewer are mostly failing.
	helpFailureShare = 0.08
	// helpMargin is the margin above the floor below which an instance needs help and covers
	// suspected servers soon: both take some time.
	helpMargin = 0.05
	// withheldAfterCut is how long a server counts as withheld after the time for which it was
	// avoided as unreachable, unless a request succeeds before.
	withheldAfterCut = 2 * time.Second
	// helpTime is how long an instance needs help after too few servers were in use. With
	// help they are in use again, so it must outlast that.
	helpTime = 3 * time.Second
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

// updateStrain determines whether the instances of other failure domains withhold requests
// from many servers that they suspect. The floor counts the servers of all failure domains,
// so each has to keep all of its own in use then.
func (p *Pool) updateStrain(now time.Time) {
	withheld := 0
	for _, s := range p.live {
		if summary := s.remote(now); summary.withheld && summary.latest.probability >= suspectThreshold {
			withheld++
		}
	}
	p.strainedElsewhere = float64(withheld) > strainedShare*float64(len(p.live))
}

// updateNeedForHelp determines whether this instance needs help: not enough servers of its own
// failure domain are in use by any instance. With suspected servers it needs help only while
// the service fails.
func (p *Pool) updateNeedForHelp(now time.Time) {
	var use floorUse
	for _, s := range p.live {
		if s.info.Domain != p.options.Domain || p.notices.excludes(now, s.info.Incarnation) {
			continue
		}
		// The own requests to a suspected server may not have reached it, and one that cannot
		// be reached will get no more.
		probability := s.failureProbability(now)
		usedHere := now.Sub(s.lastUseAt) < coverInterval && probability < suspectThreshold && s.consecutiveCuts == 0
		if usedHere || now.Sub(s.remote(now).lastRequestAt) < coverInterval {
			use.addUsed()
		} else {
			use.addUnused(probability)
		}
	}
	if use.missing(p.options.Floor+helpMargin) == 0 {
		return
	}
	p.cutHelpUntil = now.Add(helpTime)
	if p.failureShare(now) >= helpFailureShare {
		p.helpUntil = now.Add(helpTime)
	}
}

// withholds reports whether this instance does not keep a server of its failure domain in use
// and needs help with it: it could not reach the server, or suspects it from what it sees
// itself.
func (p *Pool) withholds(now time.Time, s *server) bool {
	if s.consecutiveCuts > 0 {
		return now.Before(p.cutHelpUntil) && now.Before(s.cutUntil.Add(withheldAfterCut))
	}
	return now.Before(p.helpUntil) && s.withOutstandingAttempts(now, s.ownEstimate.probabilityAt(now)) >= suspectThreshold
}

// usefulAssistance returns how many of the suspected servers for which help is wanted this
// instance should cover soon. If most requests to such servers fail here as well, it is none,
// and they are covered as rarely as other suspected servers.
func (p *Pool) usefulAssistance(now time.Time, wanted int) int {
	overdue := p.countOverdue(now, func(a *Attempt) bool { return a.assistance })
	if p.assistance.failureShare(now, overdue) > maxAssistanceFailures {
		return 0
	}
	return wanted
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

package workset

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// candidate is an instance that may become active.
type candidate struct {
	heartbeat       Heartbeat
	recentlyStarted bool
	// copyStale is set if the copy of the store is much older than the freshest one.
	copyStale bool
	score     uint64
}

// computeView returns the working set that follows from the last heartbeats.
func (s *State) computeView(now time.Time) *View {
	v := &View{active: make(map[fleet.Domain][]Heartbeat), inUse: make(map[fleet.InstanceID]bool), role: Idle}
	byDomain := make(map[fleet.Domain][]candidate)
	rates := make(map[fleet.Domain]float64)
	freshestAge := forgetAfter
	add := func(heartbeat Heartbeat, uptime time.Duration) {
		rates[heartbeat.Domain] += heartbeat.RequestRate
		if heartbeat.Ready {
			freshestAge = min(freshestAge, heartbeat.CopyAge)
		}
		if heartbeat.Leaving {
			return
		}
		byDomain[heartbeat.Domain] = append(byDomain[heartbeat.Domain], candidate{
			heartbeat:       heartbeat,
			recentlyStarted: uptime < recentlyStartedTime,
			score:           fleet.RendezvousScore(heartbeat.Member.ID, activeResource),
		})
	}
	for _, p := range s.peers {
		if p.live(now) {
			v.livePeers++
			since := now.Sub(p.lastSeenAt)
			if p.heartbeat.Domain != s.self.Domain && since > maxRemoteSilence {
				continue
			}
			heartbeat := p.heartbeat
			heartbeat.CopyAge += since
			heartbeat.ReadAge += since
			add(heartbeat, heartbeat.Uptime+since)
		}
	}
	uptime := now.Sub(s.options.Start)
	if uptime < settleTime {
		// Until the role is known, callers that request an assignment are assigned to
		// this instance, since a caller without an assignment cannot send any request.
		v.active[s.self.Domain] = []Heartbeat{s.self}
		s.countInstances(now, v)
		return v
	}
	add(s.heartbeat(now), uptime)
	for domain, candidates := range byDomain {
		markStaleCopies(candidates, freshestAge)
		s.rankDomain(v, domain, candidates, rates[domain])
	}
	s.countInstances(now, v)
	return v
}

// markStaleCopies marks the candidates with a copy that is much older than the
// freshest one.
func markStaleCopies(candidates []candidate, freshestAge time.Duration) {
	for i := range candidates {
		candidates[i].copyStale = candidates[i].heartbeat.CopyAge > freshestAge+maxCopyLag
	}
}

// activeResource is the resource for which the rendezvous scores are computed.
const activeResource fleet.Resource = "active"

// rankDomain orders the candidates of a failure domain and adds its active and standby
// instances to the view. The first candidates are active, as many as a load of rate
// requests per second needs, but at least one. One that is active stays so until the load is
// clearly lower, since the measured load varies.
func (s *State) rankDomain(v *View, domain fleet.Domain, candidates []candidate, rate float64) {
	allRecentlyStarted := !slices.ContainsFunc(candidates, func(c candidate) bool { return !c.recentlyStarted })
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			compareBool(!a.heartbeat.Ready, !b.heartbeat.Ready),
			compareBool(a.copyStale, b.copyStale),
			compareBool(a.heartbeat.Slow, b.heartbeat.Slow),
			compareBool(a.recentlyStarted && !allRecentlyStarted, b.recentlyStarted && !allRecentlyStarted),
			-cmp.Compare(a.heartbeat.Cores, b.heartbeat.Cores),
			-cmp.Compare(a.score, b.score),
		)
	})
	coresNeeded, coresActive := rate/ratePerCore, 0.0
	readerFound, selfFound := false, false
	for i, c := range candidates {
		coresAhead := coresActive
		if c.heartbeat.Active {
			coresAhead *= keepActiveShare
		}
		active := i == 0 || coresAhead < coresNeeded
		self := c.heartbeat.Member == s.self.Member
		if self {
			v.rank, selfFound = i, true
		}
		if domain == s.self.Domain && !selfFound && c.heartbeat.ReadsStore && c.heartbeat.ReadAge <= maxReadAge {
			v.readerAhead = true
		}
		if !readerFound && !c.heartbeat.StoreUnreachable {
			readerFound = true
			v.storeReader = v.storeReader || self
		}
		switch {
		case active && self:
			v.role = Active
		case self && !active && !v.hasStandby[domain]:
			v.role = Standby
		}
		if active {
			coresActive += c.heartbeat.Cores
			v.active[domain] = append(v.active[domain], c.heartbeat)
			v.inUse[c.heartbeat.Member.ID] = true
			continue
		}
		if v.hasStandby == nil {
			v.hasStandby = make(map[fleet.Domain]bool)
		}
		if !v.hasStandby[domain] {
			v.inUse[c.heartbeat.Member.ID] = true
		}
		v.hasStandby[domain] = true
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

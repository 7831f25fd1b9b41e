package workset

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// candidate is an instance that may be active.
type candidate struct {
	beat  Heartbeat
	young bool
	// behind says that the copy of the store is older than that of others.
	behind bool
	score  uint64
}

// order computes the view.
func (s *State) order(now time.Time) *View {
	v := &View{domains: make(map[fleet.Domain][]Heartbeat), used: make(map[fleet.InstanceID]bool), place: Idle}
	byDomain := make(map[fleet.Domain][]candidate)
	rates := make(map[fleet.Domain]float64)
	freshest := forgetAfter
	add := func(beat Heartbeat, uptime time.Duration) {
		rates[beat.Domain] += beat.RequestRate
		if beat.Ready {
			freshest = min(freshest, beat.CopyAge)
		}
		if beat.Leaving {
			return
		}
		byDomain[beat.Domain] = append(byDomain[beat.Domain], candidate{
			beat:  beat,
			young: uptime < youngTime,
			score: fleet.RendezvousScore(beat.Member.ID, resource),
		})
	}
	for _, p := range s.peers {
		if p.live(now) {
			v.live++
			since := now.Sub(p.heardAt)
			if p.beat.Domain != s.self.Domain && since > farFresh {
				continue
			}
			beat := p.beat
			beat.CopyAge += since
			add(beat, beat.Uptime+since)
		}
	}
	uptime := now.Sub(s.options.Start)
	if uptime < settleTime {
		// Callers that ask meanwhile are sent here, which is better than nowhere.
		v.domains[s.self.Domain] = []Heartbeat{s.self}
		return v
	}
	add(s.self, uptime)
	for domain, candidates := range byDomain {
		markBehind(candidates, freshest)
		s.place(v, domain, candidates, rates[domain])
	}
	return v
}

// markBehind marks the candidates with a copy that is much older than the
// freshest one.
func markBehind(candidates []candidate, freshest time.Duration) {
	for i := range candidates {
		candidates[i].behind = candidates[i].beat.CopyAge > freshest+staleLead
	}
}

// resource is what the rendezvous order is for.
const resource fleet.Resource = "active"

// place orders the candidates of a failure domain.
func (s *State) place(v *View, domain fleet.Domain, candidates []candidate, rate float64) {
	allYoung := !slices.ContainsFunc(candidates, func(c candidate) bool { return !c.young })
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			compareBool(!a.beat.Ready, !b.beat.Ready),
			compareBool(a.behind, b.behind),
			compareBool(a.beat.Slow, b.beat.Slow),
			compareBool(a.young && !allYoung, b.young && !allYoung),
			-cmp.Compare(a.beat.Cores, b.beat.Cores),
			-cmp.Compare(a.score, b.score),
		)
	})
	need := rate / ratePerCore
	reader := false
	for i, c := range candidates {
		active := i == 0 || need > 0
		self := c.beat.Member == s.self.Member
		if self {
			v.rank = i
		}
		if !reader && i < maxReaders && !c.beat.StoreUnreachable {
			reader = true
			v.reader = v.reader || self
		}
		switch {
		case active && self:
			v.place = Active
		case self && i > 0 && need <= 0 && !v.standby[domain]:
			v.place = Standby
		}
		if active {
			need -= c.beat.Cores
			v.domains[domain] = append(v.domains[domain], c.beat)
			v.used[c.beat.Member.ID] = true
			continue
		}
		if v.standby == nil {
			v.standby = make(map[fleet.Domain]bool)
		}
		if !v.standby[domain] {
			v.used[c.beat.Member.ID] = true
		}
		v.standby[domain] = true
	}
}

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

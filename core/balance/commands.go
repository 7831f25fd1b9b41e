package balance

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// Update takes the listed servers of the service. Servers that are leaving get
// no new requests; attempts on servers that are gone may still finish.
func (p *Pool) Update(listed []registry.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[registry.Incarnation]*server, len(listed))
	list := make([]*server, 0, len(listed))
	for _, info := range listed {
		s, known := p.servers[info.Incarnation]
		if !known || s.info.Address != info.Address {
			s = newServer(info)
		}
		s.info = info
		next[info.Incarnation] = s
		if info.Presence == fleet.Live {
			list = append(list, s)
		}
	}
	p.servers = next
	p.list = list
}

// Ask describes a request that needs a server.
type Ask struct {
	Kind       Kind
	Idempotent bool
	// Trial allows the choice of a suspected server, since another attempt can
	// follow.
	Trial     bool
	Objective time.Duration
	Left      time.Duration
	// Exclude are the servers that were tried.
	Exclude []registry.Incarnation
}

// Pick chooses a server and counts the attempt on it.
func (p *Pool) Pick(now time.Time, ask Ask) (*Lease, Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ask.Idempotent {
		p.idempotentAt = now
	}
	expected := p.usual.expected(ask.Kind, ask.Objective)
	chosen, trial := p.choose(now, ask)
	if chosen == nil {
		return nil, NoServer
	}
	if chosen.wait(now, expected)+expected/2 > ask.Left {
		return nil, NoRoom
	}
	lease := &Lease{
		Server:     chosen.info,
		Trial:      trial,
		Expected:   expected,
		pool:       p,
		server:     chosen,
		kind:       ask.Kind,
		started:    now,
		stallAfter: time.Duration(stallFactor*float64(expected)) + chosen.wait(now, expected) + stallSlack,
	}
	chosen.leases = append(chosen.leases, lease)
	if trial {
		chosen.trialAt = now.Add(trialPause)
	}
	return lease, Chosen
}

// choose returns the server for a request and whether it is a trial.
func (p *Pool) choose(now time.Time, ask Ask) (*server, bool) {
	var best, trial, spare *server
	var bestCost, trialCost, spareCost float64
	hasTrials := now.Sub(p.idempotentAt) < trialMemory
	for _, s := range p.list {
		if excluded(ask.Exclude, s.info.Incarnation) {
			continue
		}
		cost := s.cost(now, p.options.Domain) + tieBreak*p.options.Random.Float64()
		condition := s.condition(now)
		switch {
		case condition == Healthy:
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
			continue
		case condition == Suspected && len(s.leases) == 0 && p.mayTry(now, s, ask, hasTrials):
			if trial == nil || cost < trialCost {
				trial, trialCost = s, cost
			}
		}
		cost += conditionCost[condition]
		if spare == nil || cost < spareCost {
			spare, spareCost = s, cost
		}
	}
	switch {
	case trial != nil:
		return trial, true
	case best == nil || (spare != nil && bestCost > spareCost):
		return spare, false
	default:
		return best, false
	}
}

// mayTry reports whether a request may be the trial of a suspected server.
func (p *Pool) mayTry(now time.Time, s *server, ask Ask, hasTrials bool) bool {
	if ask.Idempotent {
		return ask.Trial && !now.Before(s.trialAt)
	}
	due := s.dueAt
	if hasTrials {
		due = due.Add(longHold - shortHold)
	}
	return !now.Before(due)
}

// tieBreak spreads requests over servers with the same cost.
const tieBreak = 0.01

// conditionCost is added for servers that should be used only when the others
// are full.
var conditionCost = [...]float64{
	Healthy:   0,
	Stalling:  4,
	Suspected: 4,
	Cut:       8,
}

func excluded(list []registry.Incarnation, id registry.Incarnation) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// Finish ends the attempt. The load is that which the server stated, if it did.
func (l *Lease) Finish(now time.Time, result Result, load Load) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	s := l.server
	took := now.Sub(l.started)
	s.remove(l)
	if load.Slots > 0 {
		s.reported, s.reportedAt = load, now
	}
	if result == Abandoned && took > l.stallAfter {
		result = Stalled
	}
	switch result {
	case Succeeded:
		p.succeeded(now, l, took)
	case Failed, Stalled:
		s.strike(now, shortHold)
		p.options.Events.Suspected(s.info, result, took, s.strikes)
	case Shed:
		s.reported = Load{Running: int(s.info.Slots), Waiting: int(s.info.Slots), Slots: s.info.Slots}
		s.reportedAt = now
	case Unreachable, Misdirected:
		s.cuts++
		s.cutUntil = now.Add(min(cutPause<<min(s.cuts-1, maxDoublings), maxCutPause))
		p.options.Events.Suspected(s.info, result, took, s.cuts)
	case Abandoned:
	}
}

// succeeded takes a whole answer.
func (p *Pool) succeeded(now time.Time, l *Lease, took time.Duration) {
	s := l.server
	s.cuts = 0
	s.cutUntil = time.Time{}
	if s.pass(l.started) {
		p.options.Events.Cleared(s.info, now.Sub(s.since))
	}
	ratio := float64(took) / float64(max(l.Expected, time.Millisecond))
	s.slowness += slowMemory * (min(ratio, maxSlowness) - s.slowness)
	s.slowness = max(s.slowness, 1)
	p.usual.observe(l.kind, l.Expected, took)
}

// StallAfter returns how long after its start the attempt counts as stalled.
func (l *Lease) StallAfter() time.Duration { return l.stallAfter }

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
	keys := make(map[ServerKey]*server, len(listed))
	for _, info := range listed {
		s, known := p.servers[info.Incarnation]
		if !known || s.info.Address != info.Address {
			s = newServer(info)
		}
		s.info = info
		next[info.Incarnation] = s
		keys[s.key] = s
		if info.Presence == fleet.Live {
			list = append(list, s)
		}
	}
	p.servers = next
	p.keys = keys
	p.list = list
}

// PickOptions describes a request that needs a server.
type PickOptions struct {
	Kind       RequestKind
	Idempotent bool
	// Priority is the rank of the request, 0 for the most urgent.
	Priority int
	// AllowTrial allows the choice of a suspected server, since another attempt can
	// follow.
	AllowTrial       bool
	LatencyObjective time.Duration
	TimeLeft         time.Duration
	// Exclude are the servers that were tried.
	Exclude []registry.Incarnation
}

// Pick chooses a server and counts the attempt on it.
func (p *Pool) Pick(now time.Time, ask PickOptions) (*Attempt, PickResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.usual.expected(ask.Kind, ask.LatencyObjective)
	chosen, trial := p.choose(now, ask, expected)
	if chosen == nil {
		if len(ask.Exclude) >= len(p.list) {
			return nil, NoServer
		}
		p.recent.start(now)
		p.recent.fail(now)
		return nil, NoRoom
	}
	waited := chosen.wait(now, expected)
	lease := &Attempt{
		Server:             chosen.info,
		Trial:              trial,
		ExpectedDuration:   expected,
		FailureProbability: chosen.failing(now),
		ServerRequests:     int(chosen.busy(now)),
		pool:               p,
		server:             chosen,
		kind:               ask.Kind,
		idempotent:         ask.Idempotent,
		started:            now,
		waited:             waited,
		stallAfter:         time.Duration(stallFactor*float64(expected)) + waited + stallSlack,
	}
	chosen.leases = append(chosen.leases, lease)
	chosen.triedAt = now
	if !trial {
		p.recent.start(now)
	}
	return lease, Chosen
}

// choose returns the server with the lowest cost among those that can be done in
// time, and whether the request is a trial of a server that is suspected.
func (p *Pool) choose(now time.Time, ask PickOptions, expected time.Duration) (*server, bool) {
	if s := p.cover(now, ask); s != nil {
		return s, false
	}
	var best, trial *server
	var bestCost, trialCost float64
	pause := p.trialPause(now, ask, expected)
	patience := min(p.patience.bound(now, ask.Priority, ask.LatencyObjective-expected), ask.TimeLeft-expected/2)
	for _, s := range p.list {
		if excluded(ask.Exclude, s.info.Incarnation) || s.queue(now, expected) > patience {
			continue
		}
		failing := s.failing(now)
		cost := s.load(now, expected, ask.LatencyObjective) + tieBreak*p.options.Random.Float64()
		near := s.info.Domain == p.options.Domain
		if !near {
			cost += distanceCost
		}
		if now.Before(s.cutUntil) {
			cost += cutCost
		}
		if near && pause > 0 && s.mayTry(now, failing, pause) && (trial == nil || cost < trialCost) {
			trial, trialCost = s, cost
		}
		switch {
		case !ask.AllowTrial:
			cost += failing
		case near:
			cost += hedgedShare*failing - staleBonus*s.stale(now)
		default:
			// Instances there find out about them and report it.
			cost += hedgedShare * failing
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if trial != nil {
		return trial, true
	}
	return best, false
}

// trialPause returns the least time between trials of one server, or zero if the
// request must not be a trial: a second attempt after a trial that brings no
// answer must still meet the objective. While the other servers have room, there
// is no hurry to have one back.
func (p *Pool) trialPause(now time.Time, ask PickOptions, expected time.Duration) time.Duration {
	if !ask.AllowTrial || time.Duration(trialRounds*float64(expected)) > ask.LatencyObjective {
		return 0
	}
	if p.utilization(now) < roomy {
		return roomyTrialPause
	}
	return trialPause
}

// utilization returns the share of the slots of sound servers that are taken.
func (p *Pool) utilization(now time.Time) float64 {
	busy, slots := 0.0, 0.0
	for _, s := range p.list {
		if s.belief.now(now) < suspectAbove && !now.Before(s.cutUntil) {
			busy += min(s.busy(now), s.slots())
			slots += s.slots()
		}
	}
	if slots == 0 {
		return 1
	}
	return busy / slots
}

// mayTry reports whether a suspected server may get a trial.
func (s *server) mayTry(now time.Time, failing float64, pause time.Duration) bool {
	if failing < clearBelow || len(s.leases) > 0 || now.Before(s.cutUntil) {
		return false
	}
	return now.Sub(s.triedAt) >= min(pause<<min(s.stalls, maxDoublings), maxTrialPause)
}

// stale returns how little is known of the server, from 0 to 1.
func (s *server) stale(now time.Time) float64 {
	if len(s.leases) > 0 {
		return 0
	}
	return min(now.Sub(s.triedAt).Seconds()/staleTime.Seconds(), 1)
}

// tieBreak spreads requests over servers with the same cost.
const tieBreak = 0.003

func excluded(list []registry.Incarnation, id registry.Incarnation) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// Finish ends the attempt. The load is that which the server stated, if it did.
func (l *Attempt) Finish(now time.Time, result Result, load Load) {
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
		s.reported, s.reportedAt, s.shed = load, now, false
	}
	if result == Abandoned && took > l.stallAfter {
		result = Stalled
	}
	if result == Failed || result == Stalled {
		s.failedAt = now
	}
	if !l.idempotent && (result == Failed || result == Stalled || result == Shed) {
		p.recent.fail(now)
	}
	switch result {
	case Succeeded:
		p.succeeded(l, took)
	case Stalled:
		s.stalls++
		s.belief = s.belief.stalled(l.started)
	case Failed:
		s.belief = s.belief.erred(now)
	case Shed:
		s.reported = Load{Running: int(s.info.Slots), Waiting: int(s.info.Slots), Slots: s.info.Slots}
		s.reportedAt, s.shed = now, true
	case Unreachable, Misdirected:
		s.cuts++
		s.cutUntil = now.Add(min(cutPause<<min(s.cuts-1, maxCutDoublings), maxCutPause))
	case Abandoned:
	}
	p.tell(now, s, result, took)
}

// tell reports a suspicion that begins or ends.
func (p *Pool) tell(now time.Time, s *server, result Result, took time.Duration) {
	failing := s.belief.now(now)
	switch {
	case !s.suspected && failing >= suspectAbove:
		s.suspected, s.since = true, now
		p.options.Events.ServerSuspected(s.info, result, took, failing)
	case s.suspected && failing < clearBelow:
		s.suspected = false
		p.options.Events.ServerCleared(s.info, now.Sub(s.since))
	case result == Unreachable || result == Misdirected:
		p.options.Events.ServerSuspected(s.info, result, took, failing)
	}
}

// succeeded takes a whole answer.
func (p *Pool) succeeded(l *Attempt, took time.Duration) {
	s := l.server
	s.cuts = 0
	s.stalls = 0
	s.cutUntil = time.Time{}
	s.belief = s.belief.passed(l.started)
	ratio := float64(took-l.waited) / float64(max(l.ExpectedDuration, time.Millisecond))
	s.slowness += slowMemory * (min(ratio, maxSlowness) - s.slowness)
	s.slowness = max(s.slowness, 1)
	p.usual.observe(l.kind, l.ExpectedDuration, took-l.waited)
}

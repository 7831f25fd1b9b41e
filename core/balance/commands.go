package balance

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// Update replaces the servers of the service. Known incarnations keep their state
// unless their address changed. Leaving servers get no new requests; outstanding
// attempts on removed servers may still finish.
func (p *Pool) Update(listed []registry.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byIncarnation := make(map[registry.Incarnation]*server, len(listed))
	live := make([]*server, 0, len(listed))
	byKey := make(map[ServerKey]*server, len(listed))
	for _, info := range listed {
		s, known := p.byIncarnation[info.Incarnation]
		if !known || s.info.Address != info.Address {
			s = newServer(info)
		}
		s.info = info
		s.local = info.Domain == p.options.Domain
		byIncarnation[info.Incarnation] = s
		byKey[s.key] = s
		if info.Presence == fleet.Live {
			live = append(live, s)
		}
	}
	p.byIncarnation = byIncarnation
	p.byKey = byKey
	p.live = live
	p.assignAssistance()
	p.assignAffinity()
}

// PickOptions describes the request that a server is chosen for.
type PickOptions struct {
	Kind       RequestKind
	Idempotent bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Reserve is the number of requests for which the request leaves room on each server. It
	// may use a server without requests in any case.
	Reserve int
	// HasCustomers is set if customers compete for the servers. Queues are then kept short
	// while the servers are crowded.
	HasCustomers bool
	// AllowTrial permits an attempt on a suspected server, because a second attempt
	// can follow.
	AllowTrial       bool
	LatencyObjective time.Duration
	TimeLeft         time.Duration
	// RequestBytes is the size of the body of the request.
	RequestBytes int
	// Exclude lists the servers that were already tried.
	Exclude []registry.Incarnation
}

// Pick chooses a server and registers an outstanding attempt on it. The attempt is nil
// unless the result is Chosen.
func (p *Pool) Pick(now time.Time, options PickOptions) (*Attempt, PickResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.durations.expected(options.Kind, options.LatencyObjective)
	decided := p.decide(now, options, expected, &p.waitLimits, nil)
	chosen, trial := decided.server, decided.trial
	if chosen == nil {
		if decided.result != NoServer {
			p.recentAttempts.recordStart(now)
			p.recentAttempts.recordFailure(now)
		}
		return nil, decided.result
	}
	if decided.coverage && chosen.finishedProbability(now) >= suspectThreshold {
		p.coveredAt, p.requestsSinceSuspected = now, 0
	}
	expectedWait := p.options.Link.TransferTime(options.RequestBytes) + chosen.expectedWait(now, expected)
	attempt := &Attempt{
		Server:             chosen.info,
		Trial:              trial,
		Coverage:           decided.coverage,
		ExpectedDuration:   expected,
		FailureProbability: chosen.failureProbability(now),
		ServerRequests:     int(chosen.requests(now)),
		pool:               p,
		server:             chosen,
		kind:               options.Kind,
		idempotent:         options.Idempotent,
		startedAt:          now,
		previousUseAt:      chosen.lastUseAt,
		expectedWait:       expectedWait,
		calmCoverage:       decided.coverage && decided.calm,
		assistance:         decided.coverage && p.assists(now, chosen),
		stallAfter:         time.Duration(stallFactor*float64(expected)) + expectedWait + stallMargin,
	}
	p.requestsSinceSuspected++
	if attempt.assistance {
		p.requestsSinceAssistance = 0
		p.assistance.recordStart(now)
	} else {
		p.requestsSinceAssistance++
	}
	chosen.attempts = append(chosen.attempts, attempt)
	chosen.connections.take(now)
	chosen.lastAttemptAt, chosen.lastUseAt = now, now
	if !trial {
		p.recentAttempts.recordStart(now)
	}
	return attempt, Chosen
}

// decision is the choice for a request, before it takes effect.
type decision struct {
	server *server
	// trial and coverage are set as in Attempt; calm is set if few requests fail.
	trial, coverage, calm bool
	result                PickResult
}

// decide chooses a server for a request. It changes nothing but the limits.
func (p *Pool) decide(now time.Time, options PickOptions, expected time.Duration, limits *queueWaitLimits, observer *observer) decision {
	d := decision{result: Chosen}
	d.server, d.calm = p.chooseForCoverage(now, options)
	d.coverage = d.server != nil
	if d.server == nil || observer != nil {
		cheapest, trial := p.chooseServer(now, options, expected, limits, observer)
		if d.server == nil {
			d.server, d.trial = cheapest, trial
		}
	}
	switch {
	case d.server != nil:
	case len(options.Exclude) >= len(p.live):
		d.result = NoServer
	case p.pausedFor(now, options.Exclude) > 0:
		d.result = AllPaused
	default:
		d.result = NoRoom
	}
	return d
}

// chooseServer returns the server with the lowest cost among those whose queue is
// short enough, and whether the request is a trial of a suspected server. Healthy servers
// with a longer queue are considered too if all others are suspected or unreachable and the
// request cannot be repeated. Requests above the fair share of their customer leave these
// queues to others.
func (p *Pool) chooseServer(now time.Time, options PickOptions, expected time.Duration, limits *queueWaitLimits, observer *observer) (*server, bool) {
	var best, trial, queued *server
	var bestCost, trialCost, queuedCost float64
	free := false
	interval, shared := p.trialInterval(now, options, expected)
	transfer := p.options.Link.TransferTime(options.RequestBytes)
	remoteCost := p.remoteCost(options)
	limit := limits.limit(now, options.Priority, options.LatencyObjective-expected-transfer)
	usable := options.TimeLeft - transfer - expected/2
	maxWait, maxHealthyWait := limit.of(options)
	maxWait, maxHealthyWait = min(maxWait, usable), min(maxHealthyWait, usable)
	for _, s := range p.live {
		wait := s.knownWait(now, expected, options.Reserve)
		long := wait > maxWait
		if long && (wait > maxHealthyWait || s.condition(now) != Healthy) || excluded(options.Exclude, s.info.Incarnation) || p.notices.excludes(now, s.info.Incarnation) {
			if observer != nil {
				observer.exclude(p, now, s, options)
			}
			continue
		}
		probability := s.failureProbability(now)
		free = free || probability < suspectThreshold && !now.Before(s.cutUntil) && wait <= limit.crowded
		// These are single variables for speed; see Costs.
		var affinity, remote, cut, warm, failure, freshness float64
		load := s.loadCost(now, expected, options.LatencyObjective)
		if s.local {
			affinity = affinityCost * s.affinityRank
			if now.Before(s.connections.reusableUntil) {
				warm = -warmDiscount
			}
		} else {
			remote = remoteCost
		}
		if now.Before(s.cutUntil) {
			cut = cutCost
		}
		tieBreak := 0.0
		if observer == nil {
			tieBreak = tieBreakCost * p.options.Random.Float64()
		}
		cost := load + tieBreak + affinity + remote + cut + warm
		if !long && (s.local || p.assists(now, s)) && interval > 0 && s.mayReceiveTrial(now, probability, interval) && (!shared || !s.leavesTrial(now, interval)) && (trial == nil || cost < trialCost) {
			trial, trialCost = s, cost
		}
		switch {
		case !options.AllowTrial:
			failure = probability
		case s.local && s.hasAffinity():
			failure = hedgedFailureWeight * probability
			freshness = -staleDiscount * s.staleness(now)
		default:
			// This instance gives no discount: the first instance in the failure domain of
			// the server tests it, and reports its estimate.
			failure = hedgedFailureWeight * probability
		}
		cost += failure + freshness
		if observer != nil {
			observer.add(now, s, Costs{Load: load, Affinity: affinity, Remote: remote, Cut: cut, Warm: warm, Failure: failure, Freshness: freshness}, expected, long)
		}
		switch {
		case long:
			if queued == nil || cost < queuedCost {
				queued, queuedCost = s, cost
			}
		case best == nil || cost < bestCost:
			best, bestCost = s, cost
		}
	}
	useQueued := best != nil && best.condition(now) != Healthy
	if useQueued && queued != nil && queuedCost < bestCost {
		best = queued
	}
	if observer != nil {
		observer.resolveQueued(useQueued)
	}
	if len(options.Exclude) == 0 && options.Reserve == 0 {
		limits.observeChoice(free)
	}
	if trial != nil {
		return trial, true
	}
	return best, false
}

// trialInterval returns the least time between two trials of one server. It returns
// zero if the request must not be a trial, because a second attempt after a stalled
// trial would miss the latency objective. At low utilization trials are less frequent,
// because the capacity of suspected servers is not needed. Up to sharedTrialUtilization the
// instances of a failure domain share the trials.
func (p *Pool) trialInterval(now time.Time, options PickOptions, expected time.Duration) (interval time.Duration, shared bool) {
	if !options.AllowTrial || time.Duration(trialTimeFactor*float64(expected)) > options.LatencyObjective {
		return 0, false
	}
	utilization := p.utilization(now)
	if utilization < lowUtilization {
		return lowUtilizationTrialInterval, true
	}
	return minTrialInterval, utilization < sharedTrialUtilization
}

// utilization returns the share of occupied slots on the servers that are
// neither suspected nor unreachable, or 1 if there is no such server.
func (p *Pool) utilization(now time.Time) float64 {
	busy, slots := 0.0, 0.0
	for _, s := range p.live {
		if s.ownEstimate.probabilityAt(now) < suspectThreshold && !now.Before(s.cutUntil) {
			busy += min(s.requests(now), s.slots())
			slots += s.slots()
		}
	}
	if slots == 0 {
		return 1
	}
	return busy / slots
}

// mayReceiveTrial reports whether a server whose failure probability is not
// below clearThreshold is due for a trial. The interval doubles with each
// consecutive stall.
func (s *server) mayReceiveTrial(now time.Time, probability float64, interval time.Duration) bool {
	if probability < clearThreshold || len(s.attempts) > 0 || now.Before(s.cutUntil) {
		return false
	}
	return now.Sub(s.lastAttemptAt) >= min(interval<<min(s.consecutiveStalls, maxTrialDoublings), maxTrialInterval)
}

// staleness returns the age of the last attempt on the server as a fraction of
// staleTime, at most 1. It is 0 while an attempt is outstanding.
func (s *server) staleness(now time.Time) float64 {
	if len(s.attempts) > 0 {
		return 0
	}
	return min(now.Sub(s.lastAttemptAt).Seconds()/staleTime.Seconds(), 1)
}

// tieBreakCost is the largest addition to a cost that spreads requests over servers of equal
// cost.
const tieBreakCost = 0.003

func excluded(list []registry.Incarnation, id registry.Incarnation) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// Finish ends the attempt; further calls have no effect. A load with zero Slots means
// that the server reported none.
func (a *Attempt) Finish(now time.Time, result Result, load Load) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	s := a.server
	duration := now.Sub(a.startedAt)
	s.removeAttempt(a)
	s.connections.put(now, result)
	if load.Slots > 0 {
		s.reportedLoad, s.loadReportedAt, s.loadAssumed = load, now, false
	}
	if result == Abandoned && duration > a.stallAfter {
		result = Stalled
	}
	if result == Failed || result == Stalled {
		s.lastFailureAt = now
	}
	if a.calmCoverage && result != Abandoned {
		p.recordCoverage(result)
	}
	if a.assistance && (result == Failed || result == Stalled) {
		p.assistance.recordFailure(now)
	}
	if !a.idempotent && (result == Failed || result == Stalled || result == Shed) {
		p.recentAttempts.recordFailure(now)
	}
	switch result {
	case Succeeded:
		p.recordSuccess(a, duration)
	case Stalled:
		s.consecutiveStalls++
		s.ownEstimate = s.ownEstimate.afterStall(a.startedAt)
	case Failed:
		s.ownEstimate = s.ownEstimate.afterError(now)
	case Shed:
		s.reportedLoad = Load{Running: int(s.info.Slots), Waiting: int(s.info.Slots), Slots: s.info.Slots}
		s.loadReportedAt, s.loadAssumed = now, true
	case Unreachable, Misdirected:
		if s.lastUseAt.Equal(a.startedAt) {
			s.lastUseAt = a.previousUseAt
		}
		s.consecutiveCuts++
		s.cutUntil = now.Add(min(minCutBackoff<<min(s.consecutiveCuts-1, maxCutDoublings), maxCutBackoff))
	case Abandoned:
	}
	p.notifySuspicion(now, s, result, duration)
}

// notifySuspicion emits an event when a suspicion starts or ends, and for each
// failed connection to the server.
func (p *Pool) notifySuspicion(now time.Time, s *server, result Result, duration time.Duration) {
	probability := s.ownEstimate.probabilityAt(now)
	switch {
	case !s.suspected && probability >= suspectThreshold:
		s.suspected, s.suspectedAt = true, now
		p.options.Events.ServerSuspected(s.info, result, duration, probability)
	case s.suspected && probability < clearThreshold:
		s.suspected = false
		p.options.Events.ServerCleared(s.info, now.Sub(s.suspectedAt))
	case result == Unreachable || result == Misdirected:
		p.options.Events.ServerSuspected(s.info, result, duration, probability)
	}
}

// recordSuccess updates the server and the expected duration after a complete
// response.
func (p *Pool) recordSuccess(a *Attempt, duration time.Duration) {
	s := a.server
	s.consecutiveCuts = 0
	s.consecutiveStalls = 0
	s.cutUntil = time.Time{}
	s.ownEstimate = s.ownEstimate.afterSuccess(a.startedAt)
	ratio := float64(duration-a.expectedWait) / float64(max(a.ExpectedDuration, time.Millisecond))
	s.slowness += slownessWeight * (min(ratio, maxSlowness) - s.slowness)
	s.slowness = max(s.slowness, 1)
	p.durations.observe(a.kind, a.ExpectedDuration, duration-a.expectedWait)
}

package balance

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// server holds the state of one incarnation of a server.
type server struct {
	info registry.Server
	key  ServerKey
	// attempts are the outstanding attempts of this instance.
	attempts []*Attempt
	// reportedLoad is the last load that the server reported, or an assumed one.
	reportedLoad   Load
	loadReportedAt time.Time
	// loadAssumed is set if reportedLoad was not reported but assumed after a shed
	// request.
	loadAssumed bool
	// ownEstimate is based on the finished attempts of this instance; suspected and
	// suspectedAt are the last suspicion passed to Events.
	ownEstimate failureEstimate
	suspected   bool
	suspectedAt time.Time
	// lastFailureAt is the time when the last failed or stalled attempt ended.
	lastFailureAt time.Time
	// lastAttemptAt is the start of the last attempt.
	lastAttemptAt time.Time
	// lastUseAt is the start of the last attempt that reached the server, or still may.
	lastUseAt         time.Time
	consecutiveStalls int
	// cutUntil is the time until which the server counts as unreachable from this
	// instance.
	cutUntil        time.Time
	consecutiveCuts int
	// assisted is set if the failure domain of this instance is one of those that use the
	// server while the instances of its own failure domain withhold requests.
	assisted bool
	// remoteReports holds the last report of each other instance, sentReport the last
	// one sent by this instance. It told of the request at sentRequestAt.
	remoteReports map[fleet.InstanceID]remoteReport
	sentReport    ServerReport
	sentRequestAt time.Time
	// summary is the summary of remoteReports if summaryKnown is set.
	summary      remoteSummary
	summaryKnown bool
	// slowness is the moving average of the duration of responses divided by the
	// expected duration, at least 1.
	slowness float64
	// local is set if the server is in the failure domain of this instance.
	local bool
	// affinityRank is the rank of this instance for the server among the active ones of its
	// failure domain, from 0 for the first to 1 for the last.
	affinityRank float64
	// order is the place of the server, from 0 to 1, in the order in which this instance takes
	// servers of equal cost.
	order float64
	// shared is set if other active instances of the failure domain use the server too.
	shared      bool
	connections idleConnections
}

// Load is the load that a server reports in its responses.
type Load struct {
	Running int
	Waiting int
	Slots   fleet.Slots
}

func newServer(info registry.Server) *server {
	return &server{
		info:          info,
		key:           KeyOf(info.Incarnation),
		slowness:      1,
		ownEstimate:   failureEstimate{probability: baselineProbability},
		remoteReports: make(map[fleet.InstanceID]remoteReport),
	}
}

// slots returns the number of requests that the server handles concurrently, at least
// 1.
func (s *server) slots() float64 { return max(float64(s.info.Slots), 1) }

// requests returns the known number of running and waiting requests on the server,
// from all instances.
func (s *server) requests(now time.Time) float64 {
	known := float64(len(s.attempts) + s.remote(now).outstanding)
	if now.Sub(s.loadReportedAt) > reportedLoadTTL {
		return known
	}
	return max(known, float64(s.reportedLoad.Running+s.reportedLoad.Waiting))
}

// failureProbability returns the estimated probability that the server is failing,
// based on finished attempts, the reports of other instances, and the age of
// outstanding attempts.
func (s *server) failureProbability(now time.Time) float64 {
	return s.withOutstandingAttempts(now, s.finishedProbability(now))
}

// condition returns the condition of the server at now.
func (s *server) condition(now time.Time) Condition {
	switch probability := s.failureProbability(now); {
	case now.Before(s.cutUntil):
		return Cut
	case probability < suspectThreshold:
		return Healthy
	case s.ownEstimate.probabilityAt(now) < suspectThreshold:
		return Stalling
	default:
		return Suspected
	}
}

// loadCost returns the cost of the load and the slowness of the server compared with
// an idle server of normal speed: the risk of a late response.
func (s *server) loadCost(now time.Time, expected, objective time.Duration) float64 {
	requests, slots := s.requests(now), s.slots()
	cost := busyCost * requests / slots
	switch {
	case requests >= slots:
		cost += waitCost
	case s.shared && requests >= max(slots-1, 1):
		cost += waitCost / 2
	}
	delay := s.waitBehind(requests, expected) + time.Duration((s.slowness-1)*float64(expected))
	if now.Before(s.info.WarmAt) {
		delay += time.Duration((coldFactor - 1) * float64(expected))
		cost += coldCost
	}
	timeToObjective := max(objective-expected, expected, time.Millisecond)
	delayShare := float64(delay) / float64(timeToObjective)
	return cost + latenessCost*delayShare + latenessSquareCost*delayShare*delayShare
}

// expectedWait returns the time that a new request is expected to wait for a slot.
func (s *server) expectedWait(now time.Time, expected time.Duration) time.Duration {
	return s.waitBehind(s.requests(now), expected)
}

// knownWait returns the wait for a slot behind the requests that are known to exist and a
// reserve, which does not count while there are none. It ignores an assumed load, because a
// server may shed a request for reasons other than its queue.
func (s *server) knownWait(now time.Time, expected time.Duration, reserve int) time.Duration {
	requests := float64(len(s.attempts) + s.remote(now).outstanding)
	if !s.loadAssumed {
		requests = s.requests(now)
	}
	if requests > 0 {
		requests += float64(reserve)
	}
	return s.waitBehind(requests, expected)
}

// waitBehind returns the expected wait for a slot behind the given number of requests.
func (s *server) waitBehind(requests float64, expected time.Duration) time.Duration {
	queuePosition := requests - s.slots() + 1
	if queuePosition <= 0 {
		return 0
	}
	return time.Duration(queuePosition / s.slots() * float64(expected))
}

// removeAttempt removes an attempt from the outstanding ones.
func (s *server) removeAttempt(attempt *Attempt) {
	for i, a := range s.attempts {
		if a == attempt {
			last := len(s.attempts) - 1
			s.attempts[i] = s.attempts[last]
			s.attempts[last] = nil
			s.attempts = s.attempts[:last]
			return
		}
	}
}

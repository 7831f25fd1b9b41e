package health

import (
	"time"

	"galenaridge/core/fleet"
)

// server holds the detection state of one owned server.
type server struct {
	status Status
	// lastReadTick is the number of the latest tick with a reading.
	lastReadTick uint64
	snapshot     Snapshot
	window       window
	// median is the median latency over the window; zero if it holds too few
	// latencies.
	median time.Duration

	// warmupEnd is the time before which latencies are not evaluated.
	warmupEnd  time.Time
	slowSince  time.Time
	lastSlowAt time.Time
	// cleanSince is the time since which there is no evidence against a suspect
	// server; zero if there is evidence.
	cleanSince time.Time
	// consecutiveSuccesses counts from the start of the condition.
	consecutiveSuccesses int
	// lastProgressAt is the later of the start of the condition and the latest
	// success.
	lastProgressAt      time.Time
	consecutiveRefusals int

	// ejectionEpisode is true from the first ejection until the server is
	// healthy, dead or draining. A permit granted in an episode continues the
	// ejection and is no relapse.
	ejectionEpisode bool
	ejectedUntil    time.Time
	// relapseDecayedAt is when the server became healthy or a relapse last
	// decayed.
	relapseDecayedAt time.Time
	// trialLatencies holds the latencies since the start of the trial.
	trialLatencies histogram

	probeBackoff time.Duration
	nextProbeAt  time.Time
	// probes holds the latest result by Observer.
	probes [2]probeResult
	// releaseRequested is true after the release of the ownership was requested,
	// until the owner reaches the server again.
	releaseRequested bool
}

// probeResult is the result of the latest probe by one observer.
type probeResult struct {
	probedAt  time.Time
	reachable bool
}

// setCondition changes the condition and resets the state that belongs to it.
func (s *server) setCondition(now time.Time, condition Condition, reason Reason, severity float64) {
	s.status.Condition = condition
	s.status.Reason = reason
	s.status.Severity = severity
	s.status.Since = now
	s.cleanSince = time.Time{}
	s.slowSince = time.Time{}
	s.consecutiveSuccesses = 0
	s.lastProgressAt = now
}

// reinstate marks the server as healthy and releases its permit or ejection
// request.
func (s *server) reinstate(now time.Time, effects *Effects) {
	if s.status.Condition != Dead && s.status.Condition != Draining {
		effects.PermitReleases = append(effects.PermitReleases, s.status.Server)
	}
	s.setCondition(now, Healthy, NoReason, 0)
	s.status.HasPermit = false
	s.ejectionEpisode = false
	s.relapseDecayedAt = now
	s.consecutiveRefusals = 0
	s.releaseRequested = false
	s.window.clear()
}

// markSuspect marks the server as suspect and requests an ejection permit.
func (s *server) markSuspect(now time.Time, found evidence, effects *Effects) {
	s.setCondition(now, Suspect, found.reason, found.severity)
	s.status.HasPermit = false
	effects.EjectionRequests = append(effects.EjectionRequests, EjectionRequest{Server: s.status.Server, Severity: found.severity})
}

// eject marks the server as ejected under its permit; a relapse doubles the
// ejection time.
func (s *server) eject(now time.Time, t *thresholds, relapse bool) {
	if relapse {
		s.status.Relapses++
	}
	s.setCondition(now, Ejected, s.status.Reason, s.status.Severity)
	s.status.HasPermit = true
	s.ejectionEpisode = true
	s.ejectedUntil = now.Add(t.ejectionTime(s.status.Relapses))
}

// takeOutOfUse changes the condition to Dead or Draining, which need no permit,
// and releases the permit or ejection request.
func (s *server) takeOutOfUse(now time.Time, condition Condition, reason Reason, effects *Effects) {
	if s.status.Condition == Suspect || s.status.HasPermit {
		effects.PermitReleases = append(effects.PermitReleases, s.status.Server)
	}
	s.setCondition(now, condition, reason, 0)
	s.status.HasPermit = false
	s.ejectionEpisode = false
	s.window.clear()
}

// requestProbe requests a probe by the owner, and by a peer too if peer is set,
// at most once each minProbeInterval.
func (s *server) requestProbe(now time.Time, peer bool, effects *Effects) {
	if now.Before(s.nextProbeAt) {
		return
	}
	s.nextProbeAt = now.Add(minProbeInterval)
	effects.Probes = append(effects.Probes, Probe{Server: s.status.Server, WithPeer: peer})
}

// decayRelapses removes one relapse for each relapseDecayTime in which the
// server stayed healthy.
func (s *server) decayRelapses(now time.Time) {
	if s.status.Relapses > 0 && now.Sub(s.relapseDecayedAt) >= relapseDecayTime {
		s.status.Relapses--
		s.relapseDecayedAt = now
	}
}

// pathBroken reports whether the owner cannot reach the server and a peer can.
func (s *server) pathBroken(now time.Time) bool {
	own, peer := s.probes[Self], s.probes[Peer]
	fresh := now.Sub(own.probedAt) < probeTTL && now.Sub(peer.probedAt) < probeTTL
	return fresh && !own.reachable && peer.reachable
}

// newServer returns a healthy server whose warmup starts now.
func newServer(id fleet.ServerID, now time.Time, t *thresholds) *server {
	return &server{
		status:           Status{Server: id, Since: now},
		warmupEnd:        now.Add(t.warmupTime),
		relapseDecayedAt: now,
	}
}

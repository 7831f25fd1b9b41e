package health

import (
	"time"

	"galenaridge/core/fleet"
)

// server is the state of one owned server.
type server struct {
	status Status
	// seen is the number of the tick that had a reading.
	seen     uint64
	snapshot Snapshot
	window   window
	// median is the median latency over the window; zero if too few.
	median time.Duration

	warmUntil time.Time
	slowSince time.Time
	slowSeen  time.Time
	// cleanSince is when a suspect server was last without evidence.
	cleanSince time.Time
	// successes counts successes in a row since the condition began.
	successes int
	// progress is when the condition began or a request last succeeded.
	progress time.Time
	refusals int

	// episode is true from the first ejection until the server is healthy.
	episode      bool
	ejectedUntil time.Time
	// healthySince is when the decay of relapses last advanced.
	healthySince time.Time
	// trialLatencies counts latencies since the trial began.
	trialLatencies histogram

	backoff   time.Duration
	nextProbe time.Time
	probes    [2]probeResult
	released  bool
}

// probeResult is the latest probe by one observer.
type probeResult struct {
	at        time.Time
	reachable bool
}

// change moves the server to a condition.
func (v *server) change(now time.Time, condition Condition, reason Reason, badness float64) {
	v.status.Condition = condition
	v.status.Reason = reason
	v.status.Severity = badness
	v.status.Since = now
	v.cleanSince = time.Time{}
	v.slowSince = time.Time{}
	v.successes = 0
	v.progress = now
}

// reinstate moves the server to health and gives its permit or wish back.
func (v *server) reinstate(now time.Time, effects *Effects) {
	if v.status.Condition != Dead && v.status.Condition != Draining {
		effects.PermitReleases = append(effects.PermitReleases, v.status.Server)
	}
	v.change(now, Healthy, NoReason, 0)
	v.status.HasPermit = false
	v.episode = false
	v.healthySince = now
	v.refusals = 0
	v.released = false
	v.window.clear()
}

// suspect moves the server to suspicion and asks for a permit.
func (v *server) suspect(now time.Time, found evidence, effects *Effects) {
	v.change(now, Suspect, found.reason, found.badness)
	v.status.HasPermit = false
	effects.EjectionRequests = append(effects.EjectionRequests, EjectionRequest{Server: v.status.Server, Severity: found.badness})
}

// eject moves the server out of use; relapse says whether its ejection time
// doubles.
func (v *server) eject(now time.Time, t *thresholds, relapse bool) {
	if relapse {
		v.status.Relapses++
	}
	v.change(now, Ejected, v.status.Reason, v.status.Severity)
	v.status.HasPermit = true
	v.episode = true
	v.ejectedUntil = now.Add(t.ejectionTime(v.status.Relapses))
}

// leave moves the server to a condition without work and without permit.
func (v *server) leave(now time.Time, condition Condition, reason Reason, effects *Effects) {
	if v.status.Condition == Suspect || v.status.HasPermit {
		effects.PermitReleases = append(effects.PermitReleases, v.status.Server)
	}
	v.change(now, condition, reason, 0)
	v.status.HasPermit = false
	v.episode = false
	v.window.clear()
}

// probe asks for probes unless the last ones were just now.
func (v *server) probe(now time.Time, peer bool, effects *Effects) {
	if now.Before(v.nextProbe) {
		return
	}
	v.nextProbe = now.Add(probePause)
	effects.Probes = append(effects.Probes, Probe{Server: v.status.Server, WithPeer: peer})
}

// decay forgets one relapse for each decay time in health.
func (v *server) decay(now time.Time) {
	if v.status.Relapses > 0 && now.Sub(v.healthySince) >= decayTime {
		v.status.Relapses--
		v.healthySince = now
	}
}

// pathBroken reports whether the owner cannot reach the server and a peer can.
func (v *server) pathBroken(now time.Time) bool {
	own, peer := v.probes[Self], v.probes[Peer]
	fresh := now.Sub(own.at) < probeLife && now.Sub(peer.at) < probeLife
	return fresh && !own.reachable && peer.reachable
}

// newServer returns a server that was first seen now.
func newServer(id fleet.ServerID, now time.Time, t *thresholds) *server {
	return &server{
		status:       Status{Server: id, Since: now},
		warmUntil:    now.Add(t.warmup),
		healthySince: now,
	}
}

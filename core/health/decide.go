package health

import (
	"time"

	"galenaridge/core/fleet"
)

// decide changes the condition of one server if the evidence requires it.
func (d *Detector) decide(now time.Time, s *server, serving fleet.Servers, effects *Effects) {
	if s.consecutiveRefusals >= d.thresholds.deadRefusals && s.status.Condition != Dead && s.status.Condition != Draining {
		d.markDead(now, s, effects)
		return
	}
	switch s.status.Condition {
	case Healthy:
		d.decideHealthy(now, s, serving, effects)
	case Suspect:
		d.decideSuspect(now, s, effects)
	case Ejected:
		d.decideEjected(now, s, effects)
	case Trial:
		d.decideTrial(now, s, effects)
	case Dead, Draining:
		d.probeUnusable(now, s, effects)
	}
}

// markDead marks a server that refuses connections as dead.
func (d *Detector) markDead(now time.Time, s *server, effects *Effects) {
	s.takeOutOfUse(now, Dead, Refusing, effects)
	s.probeBackoff = minProbeBackoff
	s.nextProbeAt = time.Time{}
	s.requestProbe(now, true, effects)
	s.nextProbeAt = now.Add(s.probeBackoff)
}

// decideHealthy marks a healthy server as suspect if there is evidence against
// it and it is not the last server that accepts requests. Slowness must have
// lasted for minSlowTime.
func (d *Detector) decideHealthy(now time.Time, s *server, serving fleet.Servers, effects *Effects) {
	s.decayRelapses(now)
	found := d.assess(now, s)
	s.trackSlowness(now, found.reason == Slow)
	if found.reason == NoReason || serving <= 1 {
		return
	}
	if found.reason == Slow && now.Sub(s.slowSince) < d.thresholds.minSlowTime {
		return
	}
	s.markSuspect(now, found, effects)
	if found.reason == Stalled {
		s.requestProbe(now, true, effects)
	}
}

// trackSlowness records the start of a slow period of a server. Normal
// latencies for up to slowResetTime do not end the period.
func (s *server) trackSlowness(now time.Time, slow bool) {
	switch {
	case slow && s.slowSince.IsZero():
		s.slowSince = now
		s.lastSlowAt = now
	case slow:
		s.lastSlowAt = now
	case now.Sub(s.lastSlowAt) > slowResetTime:
		s.slowSince = time.Time{}
	}
}

// decideSuspect reinstates a suspect server after a time without evidence, which
// is shorter if enough requests have succeeded.
func (d *Detector) decideSuspect(now time.Time, s *server, effects *Effects) {
	found := d.assess(now, s)
	if found.reason != NoReason {
		if s.status.Reason == Untested {
			effects.EjectionRequests = append(effects.EjectionRequests, EjectionRequest{Server: s.status.Server, Severity: found.severity})
		}
		s.status.Reason = found.reason
		s.status.Severity = found.severity
		s.cleanSince = time.Time{}
		s.consecutiveSuccesses = 0
		return
	}
	if s.cleanSince.IsZero() {
		s.cleanSince = now
	}
	cleanTime := now.Sub(s.cleanSince)
	tested := s.consecutiveSuccesses >= d.thresholds.minSuccesses && cleanTime >= d.thresholds.clearTime
	if tested || cleanTime >= evidenceTimeout {
		s.reinstate(now, effects)
	}
}

// decideEjected starts a trial when the ejection time is over and no earlier
// attempt is in flight, since the failure of an earlier attempt would count
// against the trial.
func (d *Detector) decideEjected(now time.Time, s *server, effects *Effects) {
	if now.Before(s.ejectedUntil) || s.snapshot.InFlight > 0 {
		return
	}
	s.setCondition(now, Trial, s.status.Reason, s.status.Severity)
	s.window.clear()
	s.trialLatencies = histogram{}
	effects.TrialStarts = append(effects.TrialStarts, s.status.Server)
}

// decideTrial ends a trial after enough consecutive successes, one failure, or a
// time without requests.
func (d *Detector) decideTrial(now time.Time, s *server, effects *Effects) {
	c := d.comparisonFor(now, s)
	sinceResume := now.Sub(d.resumedAt)
	if s.window.sum.failed > 0 || c.countOverdue(&s.snapshot, sinceResume) > 0 {
		s.eject(now, &d.thresholds, true)
		return
	}
	if s.consecutiveSuccesses >= d.thresholds.minSuccesses {
		d.endTrial(now, s, c.medianRatio(&s.trialLatencies) > 0, effects)
		return
	}
	if s.snapshot.InFlight == 0 && now.Sub(s.lastProgressAt) >= idleTrialTimeout {
		s.setCondition(now, Suspect, Untested, 0)
		s.status.HasPermit = false
		effects.PermitReleases = append(effects.PermitReleases, s.status.Server)
	}
}

// endTrial reinstates a server, unless it is still slow. A slow server is ejected
// again only after the warmup time, as it may have been restarted while it was
// ejected.
func (d *Detector) endTrial(now time.Time, s *server, slow bool, effects *Effects) {
	if !slow {
		s.reinstate(now, effects)
		return
	}
	if now.Sub(s.status.Since) >= d.thresholds.warmupTime {
		s.eject(now, &d.thresholds, true)
		return
	}
	s.consecutiveSuccesses = 0
	s.trialLatencies = histogram{}
}

// probeUnusable requests a probe of a dead or draining server when its backoff
// has passed, and doubles the backoff.
func (d *Detector) probeUnusable(now time.Time, s *server, effects *Effects) {
	if now.Before(s.nextProbeAt) {
		return
	}
	s.probeBackoff = min(max(2*s.probeBackoff, minProbeBackoff), maxProbeBackoff)
	s.nextProbeAt = time.Time{}
	s.requestProbe(now, s.status.Condition == Dead, effects)
	s.nextProbeAt = now.Add(s.probeBackoff)
}

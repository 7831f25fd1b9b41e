package health

import (
	"time"

	"galenaridge/core/fleet"
)

// decide moves one server to another condition if the evidence asks for it.
func (s *Detector) decide(now time.Time, v *server, taking fleet.Servers, effects *Effects) {
	if v.refusals >= s.thresholds.refusals && v.status.Condition != Dead && v.status.Condition != Draining {
		s.die(now, v, effects)
		return
	}
	switch v.status.Condition {
	case Healthy:
		s.decideHealthy(now, v, taking, effects)
	case Suspect:
		s.decideSuspect(now, v, effects)
	case Ejected:
		s.decideEjected(now, v, effects)
	case Trial:
		s.decideTrial(now, v, effects)
	case Dead, Draining:
		s.decideUnusable(now, v, effects)
	}
}

// die takes a server that refuses connections out of use.
func (s *Detector) die(now time.Time, v *server, effects *Effects) {
	v.leave(now, Dead, Refusing, effects)
	v.backoff = firstBackoff
	v.nextProbe = time.Time{}
	v.probe(now, true, effects)
	v.nextProbe = now.Add(v.backoff)
}

// decideHealthy suspects a server that has evidence against it.
func (s *Detector) decideHealthy(now time.Time, v *server, taking fleet.Servers, effects *Effects) {
	v.decay(now)
	found := s.judge(now, v)
	v.noteSlow(now, found.reason == Slow)
	if found.reason == NoReason || taking <= 1 {
		return
	}
	if found.reason == Slow && now.Sub(v.slowSince) < s.thresholds.slowHold {
		return
	}
	v.suspect(now, found, effects)
	if found.reason == Stalled {
		v.probe(now, true, effects)
	}
}

// noteSlow keeps since when a server is slow.
func (v *server) noteSlow(now time.Time, slow bool) {
	switch {
	case slow && v.slowSince.IsZero():
		v.slowSince = now
		v.slowSeen = now
	case slow:
		v.slowSeen = now
	case now.Sub(v.slowSeen) > slowLapse:
		v.slowSince = time.Time{}
	}
}

// decideSuspect clears a server whose evidence is gone.
func (s *Detector) decideSuspect(now time.Time, v *server, effects *Effects) {
	found := s.judge(now, v)
	if found.reason != NoReason {
		if v.status.Reason == Untested {
			effects.EjectionRequests = append(effects.EjectionRequests, EjectionRequest{Server: v.status.Server, Severity: found.badness})
		}
		v.status.Reason = found.reason
		v.status.Severity = found.badness
		v.cleanSince = time.Time{}
		v.successes = 0
		return
	}
	if v.cleanSince.IsZero() {
		v.cleanSince = now
	}
	clean := now.Sub(v.cleanSince)
	tested := v.successes >= s.thresholds.successes && clean >= s.thresholds.clear
	if tested || clean >= staleEvidence {
		v.reinstate(now, effects)
	}
}

// decideEjected begins a trial when the ejection time is over and no attempt
// from before is left, whose failure would count against the trial.
func (s *Detector) decideEjected(now time.Time, v *server, effects *Effects) {
	if now.Before(v.ejectedUntil) || v.snapshot.InFlight > 0 {
		return
	}
	v.change(now, Trial, v.status.Reason, v.status.Severity)
	v.window.clear()
	v.trialLatencies = histogram{}
	effects.TrialStarts = append(effects.TrialStarts, v.status.Server)
}

// decideTrial ends a trial after enough successes in a row or one failure.
func (s *Detector) decideTrial(now time.Time, v *server, effects *Effects) {
	c := s.compare(now, v)
	patience := now.Sub(s.resumed)
	if v.window.sum.failed > 0 || c.overdue(&v.snapshot, patience) > 0 {
		v.eject(now, &s.thresholds, true)
		return
	}
	if v.successes >= s.thresholds.successes {
		s.endTrial(now, v, c.excess(&v.trialLatencies) > 0, effects)
		return
	}
	if v.snapshot.InFlight == 0 && now.Sub(v.progress) >= idleTrial {
		v.change(now, Suspect, Untested, 0)
		v.status.HasPermit = false
		effects.PermitReleases = append(effects.PermitReleases, v.status.Server)
	}
}

// endTrial reinstates a server, unless it is still slow. It may have been
// restarted while it was ejected, so it gets the time to warm up.
func (s *Detector) endTrial(now time.Time, v *server, slow bool, effects *Effects) {
	if !slow {
		v.reinstate(now, effects)
		return
	}
	if now.Sub(v.status.Since) >= s.thresholds.warmup {
		v.eject(now, &s.thresholds, true)
		return
	}
	v.successes = 0
	v.trialLatencies = histogram{}
}

// decideUnusable probes a server again that takes no work.
func (s *Detector) decideUnusable(now time.Time, v *server, effects *Effects) {
	if now.Before(v.nextProbe) {
		return
	}
	v.backoff = min(max(2*v.backoff, firstBackoff), lastBackoff)
	v.nextProbe = time.Time{}
	v.probe(now, v.status.Condition == Dead, effects)
	v.nextProbe = now.Add(v.backoff)
}

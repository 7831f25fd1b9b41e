package health

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Options configures the detection for one service.
type Options struct {
	Service fleet.ServiceName
	Detect  fleet.Preference
	// MaxDeadline is the service's largest deadline.
	MaxDeadline time.Duration
}

// Detector decides about the owned servers of one service. It belongs to the
// control goroutine.
type Detector struct {
	options    Options
	thresholds thresholds
	servers    map[fleet.ServerID]*server

	started time.Time
	tick    uint64
	ticked  time.Time
	// resumed is when this process last came back from a pause.
	resumed time.Time

	// learned counts latencies of healthy servers.
	learned      histogram
	learnedSince time.Time
	baseline     time.Duration
	baselineAt   time.Time
	// stallAge is the age at which requests in flight are overdue at this tick.
	stallAge time.Duration
	// medians holds the median latency of each healthy server at this tick, in
	// ascending order.
	medians []time.Duration
}

// NewDetector returns a state without servers.
func NewDetector(now time.Time, options Options) *Detector {
	return &Detector{
		options:      options,
		thresholds:   thresholdsOf(options.Detect),
		servers:      make(map[fleet.ServerID]*server),
		started:      now,
		ticked:       now,
		resumed:      now.Add(-settleTime),
		learnedSince: now,
	}
}

// Configure takes changed options from the configuration; conditions stay.
func (s *Detector) Configure(options Options) {
	s.options = options
	s.thresholds = thresholdsOf(options.Detect)
}

// Observe takes one reading for each owned server; servers without a reading
// are forgotten. Taking counts the servers of the service that take work, as
// far as known; the last one is never ejected. It is called about every 50 ms.
func (s *Detector) Observe(now time.Time, readings []Reading, taking fleet.Servers) Effects {
	s.begin(now)
	for i := range readings {
		s.record(now, &readings[i])
	}
	s.forget()
	s.compile()
	var effects Effects
	for i := range readings {
		s.decide(now, s.servers[readings[i].Server], taking, &effects)
	}
	return effects
}

// begin notes the time of a tick, and whether this process was paused.
func (s *Detector) begin(now time.Time) {
	s.tick++
	if now.Sub(s.ticked) > gap {
		s.resumed = now
	}
	s.ticked = now
	if now.Sub(s.learnedSince) >= learnTime {
		s.learned.halve()
		s.learnedSince = now
	}
	s.stallAge = s.thresholds.stallAge(&s.learned, s.options.MaxDeadline)
}

// record adds what happened on a server since the last tick to its window.
func (s *Detector) record(now time.Time, reading *Reading) {
	v, known := s.servers[reading.Server]
	if !known {
		v = newServer(reading.Server, now, &s.thresholds)
		s.servers[reading.Server] = v
	}
	before := v.snapshot
	switch {
	case !known:
		// What happened before the server was owned is no evidence.
		before = reading.Snapshot
	case reading.Snapshot.Started < before.Started:
		// The counters are new.
		before = Snapshot{}
	}
	v.seen = s.tick
	v.snapshot = reading.Snapshot
	ended := s.ended(&before, &v.snapshot)
	v.refused(int(v.snapshot.Refused-before.Refused), ended.succeeded)
	if now.Sub(s.resumed) < settleTime {
		ended = tally{succeeded: ended.succeeded}
	}
	v.succeeded(now, &ended)
	if v.status.Condition == Healthy && ended.timed > 0 {
		s.learned.add(&ended.latencies)
	}
	if now.Before(v.warmUntil) {
		ended.timed, ended.latencies = 0, histogram{}
	}
	v.window.record(now.Sub(s.started), &ended)
	v.median = medianOf(&v.window, s.thresholds.slowAttempts)
}

// ended returns the attempts that ended between two snapshots.
func (s *Detector) ended(before, after *Snapshot) tally {
	t := tally{
		succeeded: int(after.Succeeded - before.Succeeded),
		failed:    int(after.Failed - before.Failed),
		latencies: after.latencies.since(&before.latencies),
	}
	t.timed = t.latencies.total()
	timedOut := int(after.TimedOut - before.TimedOut)
	if timedOut == 0 {
		return t
	}
	lasted := (after.TimedOutTime - before.TimedOutTime) / time.Duration(timedOut)
	if lasted >= time.Duration(timeoutShare*float64(s.stallAge)) {
		t.timedOut = timedOut
		t.failed += timedOut
	}
	return t
}

// refused counts refused connections in a row.
func (v *server) refused(count, succeeded int) {
	v.refusals += count
	if succeeded > 0 {
		v.refusals = 0
	}
}

// succeeded counts successes in a row.
func (v *server) succeeded(now time.Time, ended *tally) {
	if ended.succeeded > 0 {
		v.progress = now
	}
	if ended.timed > 0 {
		v.trialLatencies.add(&ended.latencies)
	}
	if ended.failed > 0 {
		v.successes = 0
		return
	}
	v.successes += ended.succeeded
}

// compile collects the median latencies of the healthy servers.
func (s *Detector) compile() {
	s.medians = s.medians[:0]
	for _, v := range s.servers {
		if v.status.Condition == Healthy && v.median > 0 {
			s.medians = append(s.medians, v.median)
		}
	}
	slices.Sort(s.medians)
}

// forget drops servers that had no reading at this tick.
func (s *Detector) forget() {
	for id, v := range s.servers {
		if v.seen != s.tick {
			delete(s.servers, id)
		}
	}
}

// SetBaseline takes the recent median latency of the whole service.
func (s *Detector) SetBaseline(now time.Time, median time.Duration) {
	s.baseline = median
	s.baselineAt = now
}

// PermitGranted records that a server may be ejected until the permit expires.
func (s *Detector) PermitGranted(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	v, known := s.servers[id]
	if !known {
		effects.PermitReleases = append(effects.PermitReleases, id)
		return effects
	}
	switch v.status.Condition {
	case Suspect:
		if v.status.Reason == Untested {
			effects.PermitReleases = append(effects.PermitReleases, id)
			return effects
		}
		v.eject(now, &s.thresholds, !v.episode)
	case Healthy, Dead, Draining:
		effects.PermitReleases = append(effects.PermitReleases, id)
	case Ejected, Trial:
	}
	return effects
}

// PermitDenied records that a server may not be ejected at present. It stays in use
// with the lowest preference.
func (s *Detector) PermitDenied(now time.Time, id fleet.ServerID) Effects { return s.readmit(now, id) }

// PermitExpired records that the permit of a server ended.
func (s *Detector) PermitExpired(now time.Time, id fleet.ServerID) Effects { return s.readmit(now, id) }

// readmit puts a server back in use that was ejected under a permit.
func (s *Detector) readmit(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	v, known := s.servers[id]
	if !known || !v.status.HasPermit {
		return effects
	}
	v.suspect(now, evidence{v.status.Reason, v.status.Severity}, &effects)
	return effects
}

// RecordProbe records the result of a probe. No result clears a server, except
// that one that refused connections takes work again when it accepts them.
func (s *Detector) RecordProbe(now time.Time, id fleet.ServerID, by Observer, reachable bool) Effects {
	var effects Effects
	v, known := s.servers[id]
	if !known || by > Peer {
		return effects
	}
	v.probes[by] = probeResult{at: now, reachable: reachable}
	if by == Self && reachable {
		v.released = false
	}
	switch {
	case v.status.Condition == Dead && by == Self && reachable:
		v.reinstate(now, &effects)
		v.warmUntil = now.Add(s.thresholds.warmup)
	case v.status.Condition == Draining && by == Self && !reachable:
		v.change(now, Dead, Refusing, 0)
	case v.pathBroken(now) && v.status.Condition != Healthy && !v.released:
		v.released = true
		effects.OwnershipReleases = append(effects.OwnershipReleases, id)
	}
	return effects
}

// MarkDraining records that a server announced that it leaves. It takes work again
// after Restore, or when it first refuses and then accepts a probe.
func (s *Detector) MarkDraining(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	v, known := s.servers[id]
	if known && v.status.Condition != Draining && v.status.Condition != Dead {
		v.leave(now, Draining, Leaving, &effects)
		v.backoff = firstBackoff
		v.nextProbe = now.Add(v.backoff)
	}
	return effects
}

// ClearDraining records that the platform lists a server as live that drained
// before.
func (s *Detector) ClearDraining(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	v, known := s.servers[id]
	if known && v.status.Condition == Draining {
		v.reinstate(now, &effects)
		v.warmUntil = now.Add(s.thresholds.warmup)
	}
	return effects
}

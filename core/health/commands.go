package health

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Options configures failure detection for one service.
type Options struct {
	Service fleet.ServiceName
	Detect  fleet.Preference
	// MaxDeadline is the longest deadline of the service's requests.
	MaxDeadline time.Duration
}

// Detector detects failing servers among the owned servers of one service and
// decides on their ejection. Only the control goroutine may use it.
type Detector struct {
	options    Options
	thresholds thresholds
	servers    map[fleet.ServerID]*server

	startedAt  time.Time
	tickNumber uint64
	lastTickAt time.Time
	// resumedAt is when this process last resumed after a pause.
	resumedAt time.Time

	// learnedLatencies holds latencies of healthy servers; old ones decay.
	learnedLatencies histogram
	learnedHalvedAt  time.Time
	// baseline is the median latency of the whole service; zero if not known.
	baseline      time.Duration
	baselineSetAt time.Time
	// stallAge is the stall threshold at this tick: requests in flight of this
	// age are overdue.
	stallAge time.Duration
	// healthyMedians holds the median latency of each healthy server at this
	// tick, in ascending order.
	healthyMedians []time.Duration
}

// NewDetector returns a detector without servers.
func NewDetector(now time.Time, options Options) *Detector {
	return &Detector{
		options:         options,
		thresholds:      thresholdsFor(options.Detect),
		servers:         make(map[fleet.ServerID]*server),
		startedAt:       now,
		lastTickAt:      now,
		resumedAt:       now.Add(-resumeGrace),
		learnedHalvedAt: now,
	}
}

// Configure replaces the options; the conditions of the servers are kept.
func (d *Detector) Configure(options Options) {
	d.options = options
	d.thresholds = thresholdsFor(options.Detect)
}

// Observe processes one reading for each owned server and removes servers
// without a reading. serving is the known number of servers of the service
// that accept requests; the last one is never ejected. The control goroutine
// calls Observe about every 50 ms.
func (d *Detector) Observe(now time.Time, readings []Reading, serving fleet.Servers) Effects {
	d.beginTick(now)
	for i := range readings {
		d.recordReading(now, &readings[i])
	}
	d.removeMissing()
	d.collectMedians()
	var effects Effects
	for i := range readings {
		d.decide(now, d.servers[readings[i].Server], serving, &effects)
	}
	return effects
}

// beginTick records the time of a tick and whether this process was paused
// before it, and updates the stall threshold.
func (d *Detector) beginTick(now time.Time) {
	d.tickNumber++
	if now.Sub(d.lastTickAt) > maxTickGap {
		d.resumedAt = now
	}
	d.lastTickAt = now
	if now.Sub(d.learnedHalvedAt) >= learnedHalfLife {
		d.learnedLatencies.halveCounts()
		d.learnedHalvedAt = now
	}
	d.stallAge = d.thresholds.stallAge(&d.learnedLatencies, d.options.MaxDeadline)
}

// recordReading adds the attempts that ended on a server since the last tick to
// the window of the server.
func (d *Detector) recordReading(now time.Time, reading *Reading) {
	s, known := d.servers[reading.Server]
	if !known {
		s = newServer(reading.Server, now, &d.thresholds)
		d.servers[reading.Server] = s
	}
	before := s.snapshot
	switch {
	case !known:
		// Attempts made before this instance owned the server are no evidence.
		before = reading.Snapshot
	case reading.Snapshot.Started < before.Started:
		// The counters were replaced and start at zero.
		before = Snapshot{}
	}
	s.lastReadTick = d.tickNumber
	s.snapshot = reading.Snapshot
	counts := d.attemptsBetween(&before, &s.snapshot)
	s.countRefusals(int(s.snapshot.Refused-before.Refused), counts.succeeded)
	if now.Sub(d.resumedAt) < resumeGrace {
		counts = attemptCounts{succeeded: counts.succeeded}
	}
	s.countSuccesses(now, &counts)
	if s.status.Condition == Healthy && counts.latencyCount > 0 {
		d.learnedLatencies.add(&counts.latencies)
	}
	if now.Before(s.warmupEnd) {
		counts.latencyCount, counts.latencies = 0, histogram{}
	}
	s.window.add(now.Sub(d.startedAt), &counts)
	s.median = windowMedian(&s.window, d.thresholds.slowAttempts)
}

// attemptsBetween returns the attempts that ended between two snapshots.
// Timeouts count only if the attempts lasted for minTimeoutShare of the stall
// threshold on average.
func (d *Detector) attemptsBetween(before, after *Snapshot) attemptCounts {
	counts := attemptCounts{
		succeeded: int(after.Succeeded - before.Succeeded),
		failed:    int(after.Failed - before.Failed),
		latencies: after.latencies.diffFrom(&before.latencies),
	}
	counts.latencyCount = counts.latencies.total()
	timedOut := int(after.TimedOut - before.TimedOut)
	if timedOut == 0 {
		return counts
	}
	meanTime := (after.TimedOutTime - before.TimedOutTime) / time.Duration(timedOut)
	if meanTime >= time.Duration(minTimeoutShare*float64(d.stallAge)) {
		counts.timedOut = timedOut
		counts.failed += timedOut
	}
	return counts
}

// countRefusals updates the number of consecutive refused connections.
func (s *server) countRefusals(count, succeeded int) {
	s.consecutiveRefusals += count
	if succeeded > 0 {
		s.consecutiveRefusals = 0
	}
}

// countSuccesses updates the number of consecutive successes and the latencies
// of the trial.
func (s *server) countSuccesses(now time.Time, counts *attemptCounts) {
	if counts.succeeded > 0 {
		s.lastProgressAt = now
	}
	if counts.latencyCount > 0 {
		s.trialLatencies.add(&counts.latencies)
	}
	if counts.failed > 0 {
		s.consecutiveSuccesses = 0
		return
	}
	s.consecutiveSuccesses += counts.succeeded
}

// collectMedians updates the sorted median latencies of the healthy servers.
func (d *Detector) collectMedians() {
	d.healthyMedians = d.healthyMedians[:0]
	for _, s := range d.servers {
		if s.status.Condition == Healthy && s.median > 0 {
			d.healthyMedians = append(d.healthyMedians, s.median)
		}
	}
	slices.Sort(d.healthyMedians)
}

// removeMissing removes servers that had no reading at this tick.
func (d *Detector) removeMissing() {
	for id, s := range d.servers {
		if s.lastReadTick != d.tickNumber {
			delete(d.servers, id)
		}
	}
}

// SetBaseline stores the recent median latency of the whole service, which is
// used for 10 s.
func (d *Detector) SetBaseline(now time.Time, median time.Duration) {
	d.baseline = median
	d.baselineSetAt = now
}

// PermitGranted ejects a suspect server under the granted permit. It releases
// a permit that is no longer needed.
func (d *Detector) PermitGranted(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	s, known := d.servers[id]
	if !known {
		effects.PermitReleases = append(effects.PermitReleases, id)
		return effects
	}
	switch s.status.Condition {
	case Suspect:
		if s.status.Reason == Untested {
			effects.PermitReleases = append(effects.PermitReleases, id)
			return effects
		}
		s.eject(now, &d.thresholds, !s.ejectionEpisode)
	case Healthy, Dead, Draining:
		effects.PermitReleases = append(effects.PermitReleases, id)
	case Ejected, Trial:
	}
	return effects
}

// PermitDenied records that the ejection of a server is not permitted. An ejected
// server becomes suspect; suspect servers stay in use with the lowest preference.
func (d *Detector) PermitDenied(now time.Time, id fleet.ServerID) Effects {
	return d.endEjection(now, id)
}

// PermitExpired ends the ejection of a server whose permit expired.
func (d *Detector) PermitExpired(now time.Time, id fleet.ServerID) Effects {
	return d.endEjection(now, id)
}

// endEjection returns a server that holds a permit to use, as suspect.
func (d *Detector) endEjection(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	s, known := d.servers[id]
	if !known || !s.status.HasPermit {
		return effects
	}
	s.markSuspect(now, evidence{s.status.Reason, s.status.Severity}, &effects)
	return effects
}

// RecordProbe records the result of a probe. A successful probe by the owner
// reinstates a dead server, and a failed one marks a draining server as dead. If
// only a peer reaches the server, its ownership is released. Probes clear no
// other evidence.
func (d *Detector) RecordProbe(now time.Time, id fleet.ServerID, by Observer, reachable bool) Effects {
	var effects Effects
	s, known := d.servers[id]
	if !known || by > Peer {
		return effects
	}
	s.probes[by] = probeResult{probedAt: now, reachable: reachable}
	if by == Self && reachable {
		s.releaseRequested = false
	}
	switch {
	case s.status.Condition == Dead && by == Self && reachable:
		s.reinstate(now, &effects)
		s.warmupEnd = now.Add(d.thresholds.warmupTime)
	case s.status.Condition == Draining && by == Self && !reachable:
		s.setCondition(now, Dead, Refusing, 0)
	case s.pathBroken(now) && s.status.Condition != Healthy && !s.releaseRequested:
		s.releaseRequested = true
		effects.OwnershipReleases = append(effects.OwnershipReleases, id)
	}
	return effects
}

// MarkDraining records that a server announced that it leaves. The server
// accepts requests again after ClearDraining, or when it refuses a probe and
// later accepts one.
func (d *Detector) MarkDraining(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	s, known := d.servers[id]
	if known && s.status.Condition != Draining && s.status.Condition != Dead {
		s.takeOutOfUse(now, Draining, Leaving, &effects)
		s.probeBackoff = minProbeBackoff
		s.nextProbeAt = now.Add(s.probeBackoff)
	}
	return effects
}

// ClearDraining reinstates a draining server that the platform lists as live
// again.
func (d *Detector) ClearDraining(now time.Time, id fleet.ServerID) Effects {
	var effects Effects
	s, known := d.servers[id]
	if known && s.status.Condition == Draining {
		s.reinstate(now, &effects)
		s.warmupEnd = now.Add(d.thresholds.warmupTime)
	}
	return effects
}

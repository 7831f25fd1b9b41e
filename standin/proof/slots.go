package proof

import (
	"context"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/standin/harness"
	"galenaridge/standin/server"
)

const (
	// slowServiceTime is long enough that a low rate of requests exceeds the
	// slots.
	slowServiceTime = 200 * time.Millisecond
	// slotUseTarget is the minimum share of slots in use under overload.
	slotUseTarget = 0.9
	// overloadFactor is the load as a multiple of the capacity of all servers.
	overloadFactor = 2
)

// slowDownServers makes the servers of all services slow, and gives each
// instance its own links, so that links within a failure domain can be cut.
func slowDownServers(d *harness.Deployment, _ *questionnaire.Answers) {
	for i := range d.Services {
		d.Services[i].Mean = slowServiceTime
		d.Services[i].Jitter = slowServiceTime / 4
	}
	d.LinksPerInstance = true
}

// proveSlots shows that no server gets more requests than its slots or more
// connections than its limit while owners are killed, paused or cut off, and
// that an overload without faults uses the slots.
func proveSlots(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "slots", slowDownServers)
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	undisturbed, disturbed := 10*time.Second, 40*time.Second
	if options.Short {
		undisturbed, disturbed = 4*time.Second, 8*time.Second
	}
	slotUse := map[fleet.ServiceName]float64{}
	steps := script{{2 * time.Second, "measure the use of slots", func(ctx context.Context) error {
		var err error
		slotUse, err = s.measureSlotUse(ctx, undisturbed-2500*time.Millisecond)
		return err
	}}}
	steps = append(steps, s.ownerFaults(undisturbed, disturbed)...)
	report, err := s.runLoad(ctx, bench.Plan{
		Steps: []bench.Step{{For: undisturbed + disturbed, PerSecond: overloadFactor * s.totalCapacity()}},
		Mix:   s.capacityMix(),
	}, callers, steps)
	if err != nil {
		return err
	}
	stats, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return err
	}
	for _, service := range s.deployment.Services {
		checkPeaks(v, service, statsOfService(stats, service.Name))
		used := slotUse[service.Name]
		v.addTimingCheck(used >= slotUseTarget, ">= 90%", "%s %.1f%% of slots in use under overload", service.Name, 100*used)
	}
	v.addNote("%d requests, %d good, %d not run, %d unknown, %d wrong",
		report.Total.Offered, report.Total.Good, report.Total.NotRun, report.Total.Unknown, report.Total.Wrong)
	return nil
}

// checkPeaks compares the peak requests and connections of the servers of a
// service with the limits of the service.
func checkPeaks(v *Verdict, service harness.Service, stats []server.Stats) {
	peakRequests, peakConns, shed := 0, 0, 0
	for _, s := range stats {
		peakRequests = max(peakRequests, s.PeakRequests)
		peakConns = max(peakConns, s.PeakConns)
		shed += s.Shed
	}
	v.addCheck(peakRequests <= int(service.Slots), "<= "+itoa(int(service.Slots)), "%s peak of %d requests", service.Name, peakRequests)
	v.addCheck(peakConns <= int(service.Conns), "<= "+itoa(int(service.Conns)), "peak of %d connections", peakConns)
	if shed > 0 {
		v.addNote("%s servers shed %d requests", service.Name, shed)
	}
}

// measureSlotUse returns the share of the slots of each service that are in
// use, as a mean over the duration.
func (s *system) measureSlotUse(ctx context.Context, duration time.Duration) (map[fleet.ServiceName]float64, error) {
	before, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if !sleep(ctx, duration) {
		return nil, ctx.Err()
	}
	after, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(startedAt)
	slotUse := map[fleet.ServiceName]float64{}
	for _, service := range s.deployment.Services {
		var busy time.Duration
		for id, stats := range after {
			if stats.Service == service.Name {
				busy += (stats.Busy - before[id].Busy).Std()
			}
		}
		slotUse[service.Name] = busy.Seconds() / (elapsed.Seconds() * float64(service.Servers) * float64(service.Slots))
	}
	return slotUse, nil
}

// ownerFaults returns a script that kills, pauses and cuts off owners in turn.
// The script begins at the start offset and takes the given duration.
func (s *system) ownerFaults(start, duration time.Duration) script {
	domains := s.deployment.Domains
	slots := s.fleet.Slots()
	neighbour := s.sameDomainSlot(slots[0])
	faults := []step{
		{name: "pause an owner for longer than its lease", run: func(ctx context.Context) error {
			slot := s.randomSlot()
			return s.injectFor(ctx, 3500*time.Millisecond, s.pauseFunc(slot), s.resumeFunc(slot))
		}},
		{name: "kill an owner", run: func(ctx context.Context) error { return killAndRestart(ctx, s, s.randomSlot()) }},
		{name: "cut one way between failure domains", run: func(ctx context.Context) error {
			return s.cutFor(ctx, 3*time.Second, harness.Domain(domains[0]), harness.Domain(domains[1]))
		}},
		{name: "cut one way within a failure domain", run: func(ctx context.Context) error {
			return s.cutFor(ctx, 3*time.Second, harness.Instance(slots[0]), harness.Instance(neighbour))
		}},
		{name: "pause an owner for less than its lease", run: func(ctx context.Context) error {
			slot := s.randomSlot()
			return s.injectFor(ctx, 1200*time.Millisecond, s.pauseFunc(slot), s.resumeFunc(slot))
		}},
		{name: "cut an owner off from a server one way", run: func(ctx context.Context) error {
			server := s.fleet.Servers()[s.rng.IntN(len(s.fleet.Servers()))]
			return s.cutFor(ctx, 3*time.Second, harness.Server(server.ID), harness.Domain(server.Domain))
		}},
	}
	if s.options.Short {
		faults = faults[:3]
	}
	var steps script
	end := start + duration - 3*time.Second
	for n := 0; ; n++ {
		offset := start + time.Duration(n)*duration/time.Duration(max(len(faults), int(duration/(5*time.Second))))
		if offset >= end && n >= len(faults) || n >= 4*len(faults) {
			return steps
		}
		fault := faults[n%len(faults)]
		fault.offset = offset
		steps = append(steps, fault)
	}
}

// sameDomainSlot returns another slot in the failure domain of a slot, or the
// second slot of the fleet if there is none.
func (s *system) sameDomainSlot(slot harness.Slot) harness.Slot {
	slots := s.fleet.Slots()
	for _, other := range slots {
		if other != slot && s.fleet.DomainOf(other) == s.fleet.DomainOf(slot) {
			return other
		}
	}
	return slots[1%len(slots)]
}

// injectFor begins a fault and ends it after the duration.
func (s *system) injectFor(ctx context.Context, duration time.Duration, begin, end func(context.Context) error) error {
	if err := begin(ctx); err != nil {
		return err
	}
	sleep(ctx, duration)
	return end(ctx)
}

func (s *system) pauseFunc(slot harness.Slot) func(context.Context) error {
	return func(context.Context) error { return s.fleet.Pause(slot) }
}

func (s *system) resumeFunc(slot harness.Slot) func(context.Context) error {
	return func(context.Context) error { return s.fleet.Resume(slot) }
}

// cutFor cuts the link from one end to another, in this direction only, for the
// duration.
func (s *system) cutFor(ctx context.Context, duration time.Duration, from, to harness.LinkEnd) error {
	return s.injectFor(
		ctx, duration,
		func(ctx context.Context) error { return s.fleet.Cut(ctx, from, to) },
		func(ctx context.Context) error { return s.fleet.Heal(ctx, from, to) },
	)
}

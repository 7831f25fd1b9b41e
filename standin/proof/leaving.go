package proof

import (
	"context"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/standin/harness"
)

const (
	// leavingTarget is how long a leaving server may still get new requests.
	leavingTarget = 3 * time.Second
	// leavingListLag is how late readers receive changes of the platform's
	// listing. It is part of leavingTarget.
	leavingListLag = time.Second
)

// drainMethod is a way to announce that a server leaves: by the platform's
// listing, by the draining header of the server, or by both.
type drainMethod struct {
	name     string
	announce func(ctx context.Context, s *system, id fleet.ServerID) error
}

func drainMethods() []drainMethod {
	return []drainMethod{
		{"list", func(ctx context.Context, s *system, id fleet.ServerID) error {
			return s.fleet.SetServerPresence(ctx, id, fleet.Leaving)
		}},
		{"signal", func(ctx context.Context, s *system, id fleet.ServerID) error { return s.fleet.AnnounceDrain(ctx, id) }},
		{"both", func(ctx context.Context, s *system, id fleet.ServerID) error { return s.fleet.DrainServer(ctx, id) }},
	}
}

// proveLeaving shows that a leaving server gets no new requests after
// leavingTarget, with each drain method.
func proveLeaving(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "leaving", func(d *harness.Deployment, _ *questionnaire.Answers) { d.ListLag = leavingListLag })
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	// With each method, one server of each service leaves.
	announcedAt := map[fleet.ServerID]time.Time{}
	var steps script
	for n, method := range drainMethods() {
		for _, service := range s.deployment.Services {
			id := harness.ServerName(service.Name, n+1)
			steps = append(steps, step{2 * time.Second, string(id) + " leaves by " + method.name, func(ctx context.Context) error {
				announcedAt[id] = time.Now()
				return method.announce(ctx, s, id)
			}})
		}
	}
	runFor := 15 * time.Second
	if options.Short {
		runFor = 7 * time.Second
	}
	countAt := runFor - 1500*time.Millisecond
	startedAtCount := map[fleet.ServerID]int{}
	steps = append(steps, step{countAt, "count", func(ctx context.Context) error {
		stats, err := s.fleet.ServerStats(ctx)
		for id, serverStats := range stats {
			startedAtCount[id] = serverStats.Started
		}
		return err
	}})
	report, err := s.runLoad(ctx, bench.Plan{
		Steps: []bench.Step{{For: runFor, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.readMix(),
	}, callers, steps)
	if err != nil {
		return err
	}
	stats, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return err
	}
	lateMethods, startedSinceCount := 0, 0
	var slowest time.Duration
	for n, method := range drainMethods() {
		var methodSlowest time.Duration
		startedAfterDrain := 0
		for _, service := range s.deployment.Services {
			id := harness.ServerName(service.Name, n+1)
			methodSlowest = max(methodSlowest, stats[id].LastStarted.Sub(announcedAt[id]))
			startedAfterDrain += stats[id].StartedAfterDrain
			startedSinceCount += stats[id].Started - startedAtCount[id]
		}
		if methodSlowest > leavingTarget {
			lateMethods++
		}
		slowest = max(slowest, methodSlowest)
		v.addNote("by %s: last new work %s after the mark, %d started after draining began", method.name, methodSlowest.Round(time.Millisecond), startedAfterDrain)
	}
	v.addCheck(startedSinceCount == 0, "0", "%d requests on leaving servers at the end", startedSinceCount)
	v.addTimingCheck(lateMethods == 0, "<= 3s", "last new work %s after the mark", slowest.Round(time.Millisecond))
	v.addCheck(2*report.Total.Good > report.Total.Offered, "most", "%d of %d requests good", report.Total.Good, report.Total.Offered)
	return nil
}

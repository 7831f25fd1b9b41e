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
	// leavingTarget is how long a leaving server may get new work.
	leavingTarget = 3 * time.Second
	// leavingLag is how far the list is behind; it is part of the target.
	leavingLag = time.Second
)

// departure is one way in which servers say that they leave.
type departure struct {
	name string
	tell func(ctx context.Context, s *stage, id fleet.ServerID) error
}

func departures() []departure {
	return []departure{
		{"list", func(ctx context.Context, s *stage, id fleet.ServerID) error {
			return s.fleet.SetServerPresence(ctx, id, fleet.Leaving)
		}},
		{"signal", func(ctx context.Context, s *stage, id fleet.ServerID) error { return s.fleet.AnnounceDrain(ctx, id) }},
		{"both", func(ctx context.Context, s *stage, id fleet.ServerID) error { return s.fleet.DrainServer(ctx, id) }},
	}
}

// proveLeaving shows that a leaving server gets no new work after a few
// seconds, whichever way it says so.
func proveLeaving(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "leaving", func(d *harness.Deployment, _ *questionnaire.Answers) { d.ListLag = leavingLag })
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.clients()
	if err != nil {
		return err
	}
	defer callers.close()
	// Each service loses one server by each way.
	told := map[fleet.ServerID]time.Time{}
	var steps script
	for n, way := range departures() {
		for _, service := range s.deployment.Services {
			id := harness.ServerName(service.Name, n+1)
			steps = append(steps, step{2 * time.Second, string(id) + " leaves by " + way.name, func(ctx context.Context) error {
				told[id] = time.Now()
				return way.tell(ctx, s, id)
			}})
		}
	}
	runFor := 15 * time.Second
	if options.Short {
		runFor = 7 * time.Second
	}
	checkAt := runFor - 1500*time.Millisecond
	before := map[fleet.ServerID]int{}
	steps = append(steps, step{checkAt, "count", func(ctx context.Context) error {
		stats, err := s.fleet.ServerStats(ctx)
		for id, one := range stats {
			before[id] = one.Started
		}
		return err
	}})
	report, err := s.load(ctx, bench.Plan{
		Steps: []bench.Step{{For: runFor, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.serverMix(),
	}, callers, steps)
	if err != nil {
		return err
	}
	stats, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return err
	}
	late, grew := 0, 0
	var slowest time.Duration
	for n, way := range departures() {
		var worst time.Duration
		after := 0
		for _, service := range s.deployment.Services {
			id := harness.ServerName(service.Name, n+1)
			worst = max(worst, stats[id].LastStarted.Sub(told[id]))
			after += stats[id].StartedAfterDrain
			grew += stats[id].Started - before[id]
		}
		if worst > leavingTarget {
			late++
		}
		slowest = max(slowest, worst)
		v.note("by %s: last new work %s after the mark, %d started after draining began", way.name, worst.Round(time.Millisecond), after)
	}
	v.check(grew == 0, "0", "%d requests on leaving servers at the end", grew)
	v.timing(late == 0, "<= 3s", "last new work %s after the mark", slowest.Round(time.Millisecond))
	v.check(2*report.Total.Good > report.Total.Offered, "most", "%d of %d requests good", report.Total.Good, report.Total.Offered)
	return nil
}

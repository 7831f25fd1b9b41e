package measure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/plot"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/logline"
	"galenaridge/standin/pause"
	"galenaridge/standin/synthetic"
)

// Bounds of the measurement of changes.
const (
	changeCount   = 5
	shortChanges  = 2
	changeTimeout = 15 * time.Second
	changeGap     = 300 * time.Millisecond
)

func measureConfig(ctx context.Context, o Options) (Result, error) {
	sizes, changes := []int{12, 24, 48}, changeCount
	if o.Short {
		sizes, changes = []int{12}, shortChanges
	}
	t := Table{
		Title:   "From the publication until the last instance logged the version (3 failure domains, 26 servers, 40 routes)",
		Columns: []string{"instances", "platform reachable from", "changes", "median", "largest", "platform calls a second", "highest second"},
		Notes:   []string{"The platform counts a pending watch as one call in each second. Its rate is the mean of 5 s at the end of the changes; the highest second includes the start of the fleet."},
	}
	lines := []series{{name: "reachable from all, median"}, {name: "reachable from one failure domain, median"}}
	for _, size := range sizes {
		shape := base
		shape.Instances = size
		f, err := open(ctx, o, shape)
		if err != nil {
			return Result{}, err
		}
		rows, err := changeTimes(ctx, o, f, shape, changes)
		f.Close()
		if err != nil {
			return Result{Tables: []Table{t}}, err
		}
		for i, row := range rows {
			t.add(size, row.reach, len(row.times), duration(median(row.times)), duration(slices.Max(row.times)), row.calls, row.peak)
			lines[i].points = append(lines[i].points, point{float64(size), median(row.times).Seconds()})
		}
	}
	drawn, err := draw("Time until a configuration is in force on all instances", "instances", "seconds", lines...)
	return Result{Tables: []Table{t}, Plots: map[string]*plot.Plot{"config-in-force": drawn}}, err
}

// changeRow is the times of changes under one reach of the platform.
type changeRow struct {
	reach string
	times []time.Duration
	calls float64
	peak  int
}

// changeTimes publishes changes with the platform reachable from everywhere,
// and then from the first failure domain only.
func changeTimes(ctx context.Context, o Options, f *harness.Fleet, shape synthetic.Shape, changes int) ([]changeRow, error) {
	if err := pause.For(ctx, settleTime); err != nil {
		return nil, err
	}
	rows := []changeRow{{reach: "all"}, {reach: "one failure domain"}}
	version := fleet.Version(1)
	for i := range rows {
		if i == 1 {
			if err := cutPlatform(ctx, f, shape); err != nil {
				return nil, err
			}
		}
		for range changes {
			version++
			took, err := inForce(ctx, f, shape, version)
			if err != nil {
				return nil, err
			}
			rows[i].times = append(rows[i].times, took)
			if err := pause.For(ctx, changeGap); err != nil {
				return nil, err
			}
		}
		stats, err := f.PlatformStats(ctx)
		if err != nil {
			return nil, err
		}
		rows[i].calls, rows[i].peak = stats.CallsPerSecond, stats.PeakCallsPerSecond
		o.Progress(fmt.Sprintf("config %d instances, reachable from %s: %v", shape.Instances, rows[i].reach, rows[i].times))
	}
	return rows, nil
}

// cutPlatform leaves the platform reachable from the first failure domain
// only, and waits until watchers elsewhere have noticed.
func cutPlatform(ctx context.Context, f *harness.Fleet, shape synthetic.Shape) error {
	for _, domain := range shape.Deployment(0).Domains[1:] {
		if err := f.CutBoth(ctx, harness.Domain(domain), harness.Platform()); err != nil {
			return err
		}
	}
	return pause.For(ctx, time.Second)
}

// inForce publishes a version and returns the time until all instances have
// logged it.
func inForce(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, version fleet.Version) (time.Duration, error) {
	text, err := shape.Config(version)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := f.PublishConfig(ctx, text); err != nil {
		return 0, err
	}
	return awaitLog(ctx, f, began, changeTimeout, func(lines map[harness.Slot][]logline.Line) (time.Time, bool) {
		var last time.Time
		for _, slot := range f.Slots() {
			i := slices.IndexFunc(lines[slot], func(l logline.Line) bool {
				return l.Message == logline.ConfigInForce && l.Version >= version
			})
			if i < 0 {
				return last, false
			}
			if at := lines[slot][i].Time; at.After(last) {
				last = at
			}
		}
		return last, true
	})
}

func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(times))[len(times)/2]
}

// duration returns a time rounded for the page.
func duration(d time.Duration) string {
	switch {
	case d >= 10*time.Millisecond || d <= -10*time.Millisecond:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}

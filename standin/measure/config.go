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

// Number of configuration changes for each row, the timeout of one change, and
// the interval between the adoption of one change by all instances and the next
// publication.
const (
	changeCount      = 5
	shortChangeCount = 2
	changeTimeout    = 15 * time.Second
	changeInterval   = 300 * time.Millisecond
)

// measureConfig measures the time from the publication of a configuration until
// all instances have adopted it, for several fleet sizes.
func measureConfig(ctx context.Context, o Options) (Result, error) {
	sizes, changes := []int{12, 24, 48}, changeCount
	if o.Short {
		sizes, changes = []int{12}, shortChangeCount
	}
	t := Table{
		Title:   "From the publication until the last instance logged the version (3 failure domains, 26 servers, 40 routes)",
		Columns: []string{"instances", "platform reachable from", "changes", "median", "largest", "platform calls a second", "highest second"},
		Notes:   []string{"The platform counts a pending watch as one call in each second. Its rate is the mean of 5 s at the end of the changes; the highest second includes the start of the fleet."},
	}
	plotLines := []series{{name: "reachable from all, median"}, {name: "reachable from one failure domain, median"}}
	for _, size := range sizes {
		shape := baseShape
		shape.Instances = size
		f, err := openFleet(ctx, o, shape)
		if err != nil {
			return Result{}, err
		}
		rows, err := measureChanges(ctx, o, f, shape, changes)
		f.Close()
		if err != nil {
			return Result{Tables: []Table{t}}, err
		}
		for i, row := range rows {
			t.add(size, row.reachableFrom, len(row.times), formatDuration(median(row.times)), formatDuration(slices.Max(row.times)), row.callsPerSecond, row.peakCallsPerSecond)
			plotLines[i].points = append(plotLines[i].points, point{float64(size), median(row.times).Seconds()})
		}
	}
	plotted, err := newLinePlot("Time until a configuration is in force on all instances", "instances", "seconds", plotLines...)
	return Result{Tables: []Table{t}, Plots: map[string]*plot.Plot{"config-in-force": plotted}}, err
}

// changeTimes holds the times of configuration changes while the platform is
// reachable from one set of failure domains, and the call rates at the
// platform.
type changeTimes struct {
	reachableFrom      string
	times              []time.Duration
	callsPerSecond     float64
	peakCallsPerSecond int
}

// measureChanges measures configuration changes with the platform reachable
// from all failure domains first, and then from the first failure domain only.
func measureChanges(ctx context.Context, o Options, f *harness.Fleet, shape synthetic.Shape, changes int) ([]changeTimes, error) {
	if err := pause.For(ctx, settleTime); err != nil {
		return nil, err
	}
	rows := []changeTimes{{reachableFrom: "all"}, {reachableFrom: "one failure domain"}}
	version := fleet.Version(1)
	for i := range rows {
		if i == 1 {
			if err := cutPlatform(ctx, f, shape); err != nil {
				return nil, err
			}
		}
		for range changes {
			version++
			elapsed, err := publishAndWait(ctx, f, shape, version)
			if err != nil {
				return nil, err
			}
			rows[i].times = append(rows[i].times, elapsed)
			if err := pause.For(ctx, changeInterval); err != nil {
				return nil, err
			}
		}
		stats, err := f.PlatformStats(ctx)
		if err != nil {
			return nil, err
		}
		rows[i].callsPerSecond, rows[i].peakCallsPerSecond = stats.CallsPerSecond, stats.PeakCallsPerSecond
		o.Progress(fmt.Sprintf("config %d instances, reachable from %s: %v", shape.Instances, rows[i].reachableFrom, rows[i].times))
	}
	return rows, nil
}

// cutPlatform cuts the links between the platform and all failure domains
// except the first, and waits a second, in which the watchers in those domains
// detect the cut.
func cutPlatform(ctx context.Context, f *harness.Fleet, shape synthetic.Shape) error {
	for _, domain := range shape.Deployment(0).Domains[1:] {
		if err := f.CutBoth(ctx, harness.Domain(domain), harness.Platform()); err != nil {
			return err
		}
	}
	return pause.For(ctx, time.Second)
}

// publishAndWait publishes the configuration with the given version, and
// returns the time until the last instance has logged that version or a newer
// one.
func publishAndWait(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, version fleet.Version) (time.Duration, error) {
	text, err := shape.Config(version)
	if err != nil {
		return 0, err
	}
	publishedAt := time.Now()
	if err := f.PublishConfig(ctx, text); err != nil {
		return 0, err
	}
	return waitForLogEvent(ctx, f, publishedAt, changeTimeout, func(lines map[harness.Slot][]logline.Line) (time.Time, bool) {
		var last time.Time
		for _, slot := range f.Slots() {
			i := slices.IndexFunc(lines[slot], func(l logline.Line) bool {
				return l.Message == logline.ConfigAdopted && l.ConfigVersion >= version
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

// median returns the middle time, or the upper of the two middle ones; 0 if
// there are no times.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(times))[len(times)/2]
}

// formatDuration rounds times below 10 ms to 10 µs and others to 1 ms.
func formatDuration(d time.Duration) string {
	switch {
	case d >= 10*time.Millisecond || d <= -10*time.Millisecond:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(10 * time.Microsecond).String()
	}
}

package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"
	"gonum.org/v1/plot"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
	"galenaridge/standin/synthetic"
)

// base is the size from which each sweep changes one number.
var base = synthetic.Shape{Instances: 12, Domains: 3, Services: 2, Servers: 26, Routes: 40, Tenants: 3}

// single is the base in one failure domain, so that servers need no links.
var single = synthetic.Shape{Instances: 12, Domains: 1, Services: 2, Servers: 26, Routes: 40, Tenants: 3}

// disturbance changes a fleet until the context ends. The slots that it
// replaces are not measured.
type disturbance struct {
	every    time.Duration
	replaced int
	act      func(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, n int) error
}

// idlePoint is one fleet that is measured without load.
type idlePoint struct {
	x       float64
	label   string
	shape   synthetic.Shape
	disturb *disturbance
}

// sweep measures the cost against one number.
type sweep struct {
	name   string
	title  string
	unit   string
	points []idlePoint
	notes  []string
}

// sweeps returns the sweeps; a short run has the first and the third point of
// the first two.
func sweeps(short bool) []sweep {
	instances, servers := []int{6, 12, 24, 48}, []int{26, 100, 400, 1000}
	services, routes, tenants := []int{2, 50, 210}, []int{40, 1000, 3700}, []int{3, 1000}
	if short {
		instances, servers = []int{6, 24}, []int{26, 400}
		services, routes, tenants = []int{50}, []int{1000}, []int{1000}
	}
	list := []sweep{
		{
			name: "instances", title: "Against instances (3 failure domains, 26 servers)", unit: "instance",
			points: vary(base, instances, func(s *synthetic.Shape, n int) { s.Instances = n }),
		},
		{
			name: "servers", title: "Against servers (12 instances, 1 failure domain)", unit: "server",
			points: vary(single, servers, func(s *synthetic.Shape, n int) { s.Servers = n }),
			notes:  []string{"All servers are started; one process holds them."},
		},
		{
			name: "services", title: "Against services (12 instances, 1 failure domain, 210 servers)", unit: "service",
			points: vary(single, services, func(s *synthetic.Shape, n int) { s.Services, s.Servers = n, 210 }),
		},
		{
			name: "routes", title: "Against routes (12 instances, 1 failure domain, 50 services, 210 servers)", unit: "route",
			points: vary(single, routes, func(s *synthetic.Shape, n int) { s.Routes, s.Services, s.Servers = n, 50, 210 }),
		},
		{
			name: "tenants", title: "Against tenants (12 instances, 1 failure domain)", unit: "tenant",
			points: vary(single, tenants, func(s *synthetic.Shape, n int) { s.Tenants = n }),
		},
	}
	return append(list, changeSweep(), replaceSweep())
}

func vary(from synthetic.Shape, values []int, set func(*synthetic.Shape, int)) []idlePoint {
	var points []idlePoint
	for _, n := range values {
		shape := from
		set(&shape, n)
		points = append(points, idlePoint{x: float64(n), label: fmt.Sprint(n), shape: shape})
	}
	return points
}

// changeSweep compares a quiet configuration with one that changes.
func changeSweep() sweep {
	publish := func(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, n int) error {
		text, err := shape.Config(fleet.Version(n + 2))
		if err != nil {
			return err
		}
		return f.PublishConfig(ctx, text)
	}
	return sweep{
		name: "changes", title: "Against configuration changes (12 instances, 3 failure domains, 40 routes)", unit: "change a second",
		points: []idlePoint{
			{x: 0, label: "0", shape: base},
			{x: 0.5, label: "one each 2 s", shape: base, disturb: &disturbance{every: 2 * time.Second, act: publish}},
		},
	}
}

// replaceSweep compares a stable membership with one whose members are
// replaced.
func replaceSweep() sweep {
	const replaced = 3
	replace := func(ctx context.Context, f *harness.Fleet, _ synthetic.Shape, n int) error {
		_, err := f.Replace(ctx, harness.SlotName(n%replaced+1))
		return err
	}
	return sweep{
		name: "replacements", title: "Against member replacement (12 instances, 3 failure domains)", unit: "replacement a second",
		points: []idlePoint{
			{x: 0, label: "0", shape: base},
			{x: 0.2, label: "one each 5 s", shape: base, disturb: &disturbance{every: 5 * time.Second, replaced: replaced, act: replace}},
		},
		notes: []string{"Each replacement kills a process and starts one with a new id in its place; the replaced instances are not in the mean."},
	}
}

// Times of one idle point. Owners have their servers after 1.5 s of membership
// and a round of claims. All instances join at once, and each passes their
// records on at 8 a message, which takes longer in a larger fleet.
const (
	settleTime  = 3 * time.Second
	settleEach  = 200 * time.Millisecond
	idleWindow  = 10 * time.Second
	shortWindow = 4 * time.Second
)

// measured is an idle point with its usage.
type measured struct {
	idlePoint
	average, highest usage
}

func measureIdle(ctx context.Context, o Options) (Result, error) {
	result := Result{Plots: map[string]*plot.Plot{}}
	// Points of equal shape are measured once.
	known := map[synthetic.Shape]measured{}
	for _, s := range sweeps(o.Short) {
		var found []measured
		for _, p := range s.points {
			m, ok := known[p.shape]
			if !ok || p.disturb != nil {
				var err error
				if m, err = idleUsage(ctx, o, s, p); err != nil {
					return result, err
				}
			}
			m.idlePoint = p
			if p.disturb == nil {
				known[p.shape] = m
			}
			found = append(found, m)
		}
		result.Tables = append(result.Tables, idleTable(s, found))
		drawn, err := idlePlot(s, found)
		if err != nil {
			return result, err
		}
		result.Plots["idle-"+s.name] = drawn
	}
	return result, nil
}

// idleUsage runs a fleet and measures it.
func idleUsage(ctx context.Context, o Options, s sweep, p idlePoint) (measured, error) {
	f, err := open(ctx, o, p.shape)
	if err != nil {
		return measured{}, err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime+time.Duration(p.shape.Instances)*settleEach); err != nil {
		return measured{}, err
	}
	window := idleWindow
	if o.Short {
		window = shortWindow
	}
	m := measured{idlePoint: p}
	slots := f.Slots()
	disturbed, cancel := context.WithCancel(ctx)
	defer cancel()
	side := pool.New().WithErrors()
	if p.disturb != nil {
		slots = slots[p.disturb.replaced:]
		side.Go(func() error { return p.disturb.run(disturbed, f, p.shape) })
	}
	m.average, m.highest, err = measureUsage(ctx, f, slots, window)
	cancel()
	if failed := side.Wait(); err == nil {
		err = failed
	}
	o.Progress(fmt.Sprintf("idle %s %s: %.2f%% of a core, %.1f MB RSS, %.0f B/s", s.name, p.label, m.average.cpu, m.average.rss, m.average.allBytes()))
	return m, err
}

// run acts at once and then at each interval until the context ends.
func (d *disturbance) run(ctx context.Context, f *harness.Fleet, shape synthetic.Shape) error {
	for n := 0; ; n++ {
		if err := d.act(ctx, f, shape, n); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if pause.For(ctx, d.every) != nil {
			return nil
		}
	}
}

// columns are the figures of an idle point that lines are fitted to.
func columns() []struct {
	name string
	of   func(usage) float64
} {
	return []struct {
		name string
		of   func(usage) float64
	}{
		{"CPU, % of a core", func(u usage) float64 { return u.cpu }},
		{"RSS, MB", func(u usage) float64 { return u.rss }},
		{"Go heap, MB", func(u usage) float64 { return u.heap }},
		{"sent, B/s", func(u usage) float64 { return u.sentBytes }},
		{"received, B/s", func(u usage) float64 { return u.receivedBytes }},
		{"all control bytes, B/s", usage.allBytes},
		{"messages sent a second", func(u usage) float64 { return u.sentMessages }},
		{"messages received a second", func(u usage) float64 { return u.receivedMessages }},
	}
}

// idleTable returns the figures of a sweep with their lines.
func idleTable(s sweep, found []measured) Table {
	t := Table{Title: s.title, Columns: []string{s.name}, Notes: s.notes}
	for _, c := range columns() {
		t.Columns = append(t.Columns, c.name)
	}
	t.Columns = append(t.Columns, "highest CPU", "highest RSS")
	for _, m := range found {
		cells := []any{m.label}
		for _, c := range columns() {
			cells = append(cells, c.of(m.average))
		}
		t.add(append(cells, m.highest.cpu, m.highest.rss)...)
	}
	if len(found) < 2 {
		return t
	}
	slopes, intercepts := []any{"slope for each " + s.unit}, []any{"intercept"}
	for _, c := range columns() {
		line := leastSquares(pointsOf(found, c.of))
		slopes, intercepts = append(slopes, line.slope), append(intercepts, line.intercept)
	}
	t.add(append(slopes, "", "")...)
	t.add(append(intercepts, "", "")...)
	return t
}

func pointsOf(found []measured, of func(usage) float64) []point {
	points := make([]point, 0, len(found))
	for _, m := range found {
		points = append(points, point{m.x, of(m.average)})
	}
	return points
}

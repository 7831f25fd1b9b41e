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

// baseShape is the size from which each sweep changes one number.
var baseShape = synthetic.Shape{Instances: 12, Domains: 3, Services: 2, Servers: 26, Routes: 40, Tenants: 3}

// singleDomainShape is the base in one failure domain, so that servers need no links.
var singleDomainShape = synthetic.Shape{Instances: 12, Domains: 1, Services: 2, Servers: 26, Routes: 40, Tenants: 3}

// disturbance changes a fleet until the context ends. The slots that it
// replaces are not measured.
type disturbance struct {
	interval      time.Duration
	replacedSlots int
	apply         func(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, n int) error
}

// idlePoint is one fleet that is measured without load.
type idlePoint struct {
	x           float64
	label       string
	shape       synthetic.Shape
	disturbance *disturbance
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
			points: varyShape(baseShape, instances, func(s *synthetic.Shape, n int) { s.Instances = n }),
		},
		{
			name: "servers", title: "Against servers (12 instances, 1 failure domain)", unit: "server",
			points: varyShape(singleDomainShape, servers, func(s *synthetic.Shape, n int) { s.Servers = n }),
			notes:  []string{"All servers are started; one process holds them."},
		},
		{
			name: "services", title: "Against services (12 instances, 1 failure domain, 210 servers)", unit: "service",
			points: varyShape(singleDomainShape, services, func(s *synthetic.Shape, n int) { s.Services, s.Servers = n, 210 }),
		},
		{
			name: "routes", title: "Against routes (12 instances, 1 failure domain, 50 services, 210 servers)", unit: "route",
			points: varyShape(singleDomainShape, routes, func(s *synthetic.Shape, n int) { s.Routes, s.Services, s.Servers = n, 50, 210 }),
		},
		{
			name: "tenants", title: "Against tenants (12 instances, 1 failure domain)", unit: "tenant",
			points: varyShape(singleDomainShape, tenants, func(s *synthetic.Shape, n int) { s.Tenants = n }),
		},
	}
	return append(list, configChangeSweep(), replacementSweep())
}

func varyShape(base synthetic.Shape, values []int, set func(*synthetic.Shape, int)) []idlePoint {
	var points []idlePoint
	for _, n := range values {
		shape := base
		set(&shape, n)
		points = append(points, idlePoint{x: float64(n), label: fmt.Sprint(n), shape: shape})
	}
	return points
}

// configChangeSweep compares a quiet configuration with one that changes.
func configChangeSweep() sweep {
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
			{x: 0, label: "0", shape: baseShape},
			{x: 0.5, label: "one each 2 s", shape: baseShape, disturbance: &disturbance{interval: 2 * time.Second, apply: publish}},
		},
	}
}

// replacementSweep compares a stable membership with one whose members are
// replaced.
func replacementSweep() sweep {
	const replaced = 3
	replace := func(ctx context.Context, f *harness.Fleet, _ synthetic.Shape, n int) error {
		_, err := f.Replace(ctx, harness.SlotName(n%replaced+1))
		return err
	}
	return sweep{
		name: "replacements", title: "Against member replacement (12 instances, 3 failure domains)", unit: "replacement a second",
		points: []idlePoint{
			{x: 0, label: "0", shape: baseShape},
			{x: 0.2, label: "one each 5 s", shape: baseShape, disturbance: &disturbance{interval: 5 * time.Second, replacedSlots: replaced, apply: replace}},
		},
		notes: []string{"Each replacement kills a process and starts one with a new id in its place; the replaced instances are not in the mean."},
	}
}

// Times of one idle point. Owners have their servers after 1.5 s of membership
// and a round of claims. All instances join at once, and each passes their
// records on at 8 a message, which takes longer in a larger fleet.
const (
	settleTime            = 3 * time.Second
	settleTimePerInstance = 200 * time.Millisecond
	idleWindow            = 10 * time.Second
	shortIdleWindow       = 4 * time.Second
)

// measuredPoint is an idle point with its usage.
type measuredPoint struct {
	idlePoint
	average, maximum usage
}

func measureIdle(ctx context.Context, o Options) (Result, error) {
	result := Result{Plots: map[string]*plot.Plot{}}
	// Points of equal shape are measured once.
	measuredShapes := map[synthetic.Shape]measuredPoint{}
	for _, s := range sweeps(o.Short) {
		var measuredPoints []measuredPoint
		for _, p := range s.points {
			m, ok := measuredShapes[p.shape]
			if !ok || p.disturbance != nil {
				var err error
				if m, err = measurePoint(ctx, o, s, p); err != nil {
					return result, err
				}
			}
			m.idlePoint = p
			if p.disturbance == nil {
				measuredShapes[p.shape] = m
			}
			measuredPoints = append(measuredPoints, m)
		}
		result.Tables = append(result.Tables, idleTable(s, measuredPoints))
		plotted, err := idlePlot(s, measuredPoints)
		if err != nil {
			return result, err
		}
		result.Plots["idle-"+s.name] = plotted
	}
	return result, nil
}

// measurePoint runs a fleet and measures it.
func measurePoint(ctx context.Context, o Options, s sweep, p idlePoint) (measuredPoint, error) {
	f, err := openFleet(ctx, o, p.shape)
	if err != nil {
		return measuredPoint{}, err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime+time.Duration(p.shape.Instances)*settleTimePerInstance); err != nil {
		return measuredPoint{}, err
	}
	window := idleWindow
	if o.Short {
		window = shortIdleWindow
	}
	m := measuredPoint{idlePoint: p}
	slots := f.Slots()
	disturbCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	disturbPool := pool.New().WithErrors()
	if p.disturbance != nil {
		slots = slots[p.disturbance.replacedSlots:]
		disturbPool.Go(func() error { return p.disturbance.run(disturbCtx, f, p.shape) })
	}
	m.average, m.maximum, err = measureUsage(ctx, f, slots, window)
	cancel()
	if disturbErr := disturbPool.Wait(); err == nil {
		err = disturbErr
	}
	o.Progress(fmt.Sprintf("idle %s %s: %.2f%% of a core, %.1f MB RSS, %.0f B/s", s.name, p.label, m.average.cpuPercent, m.average.rssMB, m.average.controlByteRate()))
	return m, err
}

// run acts at once and then at each interval until the context ends.
func (d *disturbance) run(ctx context.Context, f *harness.Fleet, shape synthetic.Shape) error {
	for n := 0; ; n++ {
		if err := d.apply(ctx, f, shape, n); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if pause.For(ctx, d.interval) != nil {
			return nil
		}
	}
}

// usageColumns are the figures of an idle point that lines are fitted to.
func usageColumns() []struct {
	name  string
	value func(usage) float64
} {
	return []struct {
		name  string
		value func(usage) float64
	}{
		{"CPU, % of a core", func(u usage) float64 { return u.cpuPercent }},
		{"RSS, MB", func(u usage) float64 { return u.rssMB }},
		{"Go heap, MB", func(u usage) float64 { return u.heapMB }},
		{"sent, B/s", func(u usage) float64 { return u.sentByteRate }},
		{"received, B/s", func(u usage) float64 { return u.receivedByteRate }},
		{"all control bytes, B/s", usage.controlByteRate},
		{"messages sent a second", func(u usage) float64 { return u.sentMessageRate }},
		{"messages received a second", func(u usage) float64 { return u.receivedMessageRate }},
	}
}

// idleTable returns the figures of a sweep with their lines.
func idleTable(s sweep, measuredPoints []measuredPoint) Table {
	t := Table{Title: s.title, Columns: []string{s.name}, Notes: s.notes}
	for _, c := range usageColumns() {
		t.Columns = append(t.Columns, c.name)
	}
	t.Columns = append(t.Columns, "highest CPU", "highest RSS")
	for _, m := range measuredPoints {
		cells := []any{m.label}
		for _, c := range usageColumns() {
			cells = append(cells, c.value(m.average))
		}
		t.add(append(cells, m.maximum.cpuPercent, m.maximum.rssMB)...)
	}
	if len(measuredPoints) < 2 {
		return t
	}
	slopes, intercepts := []any{"slope for each " + s.unit}, []any{"intercept"}
	for _, c := range usageColumns() {
		line := leastSquares(toPoints(measuredPoints, c.value))
		slopes, intercepts = append(slopes, line.slope), append(intercepts, line.intercept)
	}
	t.add(append(slopes, "", "")...)
	t.add(append(intercepts, "", "")...)
	return t
}

func toPoints(measuredPoints []measuredPoint, value func(usage) float64) []point {
	points := make([]point, 0, len(measuredPoints))
	for _, m := range measuredPoints {
		points = append(points, point{m.x, value(m.average)})
	}
	return points
}

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

// baseShape is the deployment of which each sweep varies one number.
var baseShape = synthetic.Shape{Instances: 12, Domains: 3, Services: 2, Servers: 26, Routes: 40, Customers: 3}

// singleDomainShape is baseShape in one failure domain, so that traffic to
// servers needs no links.
var singleDomainShape = synthetic.Shape{Instances: 12, Domains: 1, Services: 2, Servers: 26, Routes: 40, Customers: 3}

// disturbance is a change that is applied to a fleet repeatedly during a
// measurement.
type disturbance struct {
	interval time.Duration
	// replacedSlots is the number of slots, from the first on, whose processes
	// are replaced. They are excluded from the measurement.
	replacedSlots int
	// apply makes the change with the given number, which counts from 0.
	apply func(ctx context.Context, f *harness.Fleet, shape synthetic.Shape, n int) error
}

// idlePoint is one fleet of a sweep, measured without load. The value x is the
// varied number, and disturbance may be nil.
type idlePoint struct {
	x           float64
	label       string
	shape       synthetic.Shape
	disturbance *disturbance
}

// sweep is a series of fleets in which one number varies. The unit names one
// step of that number in the table.
type sweep struct {
	name   string
	title  string
	unit   string
	points []idlePoint
	notes  []string
}

// sweeps returns all sweeps. In a short run, the first two have only their
// first and third points, and the next three one point each.
func sweeps(short bool) []sweep {
	instances, servers := []int{6, 12, 24, 48}, []int{26, 100, 400, 1000}
	services, routes, customers := []int{2, 50, 210}, []int{40, 1000, 3700}, []int{3, 1000}
	if short {
		instances, servers = []int{6, 24}, []int{26, 400}
		services, routes, customers = []int{50}, []int{1000}, []int{1000}
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
			points: varyShape(singleDomainShape, customers, func(s *synthetic.Shape, n int) { s.Customers = n }),
		},
	}
	return append(list, configChangeSweep(), replacementSweep())
}

// varyShape returns one point for each value, with the base shape changed by
// set.
func varyShape(base synthetic.Shape, values []int, set func(*synthetic.Shape, int)) []idlePoint {
	var points []idlePoint
	for _, n := range values {
		shape := base
		set(&shape, n)
		points = append(points, idlePoint{x: float64(n), label: fmt.Sprint(n), shape: shape})
	}
	return points
}

// configChangeSweep compares a constant configuration with one that changes
// every 2 s.
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

// replacementSweep compares a stable membership with one in which a member is
// replaced every 5 s.
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

// Wait between readiness and a measurement, and length of the measurement of an
// idle point. An instance acquires its servers after 1.5 s of membership and
// one round of claims. Idle points wait longer by settleTimePerInstance for
// each instance: all instances join at the same time, and each message carries
// at most 8 membership records, so gossip takes longer in a larger fleet.
const (
	settleTime            = 3 * time.Second
	settleTimePerInstance = 200 * time.Millisecond
	idleWindow            = 10 * time.Second
	shortIdleWindow       = 4 * time.Second
)

// measuredPoint is an idle point with the mean usage of its instances, and the
// highest CPU and memory use of one of them.
type measuredPoint struct {
	idlePoint
	average, maximum usage
}

// measureIdle measures the control cost of idle instances in all sweeps.
func measureIdle(ctx context.Context, o Options) (Result, error) {
	result := Result{Plots: map[string]*plot.Plot{}}
	// Undisturbed points of the same shape are measured once.
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

// measurePoint starts a fleet for a point, applies the disturbance if there is
// one, and measures the usage of the instances that are not replaced.
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

// run applies the change at once, and again after each interval, until the
// context ends or a change fails.
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

// usageColumns returns the columns of the idle tables for which a slope is
// fitted, each with the function that reads its value from a usage.
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

// idleTable returns the table of a sweep. With at least two points, two more
// rows hold the slopes and intercepts of the fitted lines.
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

// toPoints returns the varied number and the given value of each measured
// point.
func toPoints(measuredPoints []measuredPoint, value func(usage) float64) []point {
	points := make([]point, 0, len(measuredPoints))
	for _, m := range measuredPoints {
		points = append(points, point{m.x, value(m.average)})
	}
	return points
}

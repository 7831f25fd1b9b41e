package measure

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
	"galenaridge/standin/synthetic"
)

// fastService has servers with enough slots and a short service time, so that
// the instance is the bottleneck.
var fastService = synthetic.Shape{Instances: 1, Servers: 20, Slots: 64, MaxConns: 390, Mean: 200 * time.Microsecond}

// Time over which requests and CPU time are counted for one row.
const (
	saturateWindow      = 3 * time.Second
	shortSaturateWindow = 1 * time.Second
)

// measureCapacity keeps one instance busy with closed loops, in which each loop
// sends its next request after the response to the last one, and divides the
// number of successful requests by the CPU time of the instance.
func measureCapacity(ctx context.Context, o Options) (Result, error) {
	window := saturateWindow
	if o.Short {
		window = shortSaturateWindow
	}
	t := Table{
		Title:   "One instance that owns 20 servers with 0.2 ms service time, closed loops, answers of 512 bytes",
		Columns: []string{"requests", "loops", "answered a second", "failed", "cores used by the instance", "requests for each core and second"},
		Notes:   []string{"Client, servers and instance share the machine, so the rate is not the most that an instance alone could do; the last column is the answers divided by the CPU time of the instance."},
	}
	f, err := openFleet(ctx, o, fastService)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
		for _, loops := range []int{1, 16, 64} {
			if err := saturate(ctx, o, f, method, loops, window, &t); err != nil {
				return Result{Tables: []Table{t}}, err
			}
		}
	}
	return Result{Tables: []Table{t}}, nil
}

// saturate starts the given number of closed loops, waits a second, and then
// counts requests and CPU time over the window. It adds one row to the table.
func saturate(ctx context.Context, o Options, f *harness.Fleet, method string, loops int, window time.Duration, t *Table) error {
	r := newRequester()
	defer r.close()
	slot := f.Slots()[0]
	entry, path := f.Entry(slot), "/"+string(synthetic.ServiceName(1))+"/items"
	readyCtx, cancel := context.WithTimeout(ctx, firstResponseTimeout)
	defer cancel()
	if err := r.waitForResponse(readyCtx, entry, path); err != nil {
		return err
	}
	var answered, failed atomic.Int64
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	p := pool.New()
	for range loops {
		p.Go(func() {
			for loadCtx.Err() == nil {
				if _, _, err := r.send(method, entry, path); err != nil {
					failed.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	defer p.Wait()
	defer stopLoad()
	if err := pause.For(ctx, time.Second); err != nil {
		return err
	}
	before, err := readMetrics(ctx, f, slot)
	if err != nil {
		return err
	}
	answeredCount, failedCount := answered.Load(), failed.Load()
	if err := pause.For(ctx, window); err != nil {
		return err
	}
	after, err := readMetrics(ctx, f, slot)
	if err != nil {
		return err
	}
	answeredCount, failedCount = answered.Load()-answeredCount, failed.Load()-failedCount
	seconds := after.time.Sub(before.time).Seconds()
	cpu := after.values[metricCPU] - before.values[metricCPU]
	name := "GET"
	if method == fasthttp.MethodPost {
		name = "protected POST"
	}
	t.add(name, loops, float64(answeredCount)/seconds, failedCount, cpu/seconds, float64(answeredCount)/max(cpu, 1e-9))
	o.Progress(fmt.Sprintf("capacity %v", t.Rows[len(t.Rows)-1]))
	return nil
}

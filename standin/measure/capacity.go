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

// fastService has servers that are never the limit.
var fastService = synthetic.Shape{Instances: 1, Servers: 20, Slots: 64, Conns: 390, Mean: 200 * time.Microsecond}

const (
	saturateWindow      = 3 * time.Second
	shortSaturateWindow = 1 * time.Second
)

// measureCapacity keeps one instance busy with closed loops and divides what
// it answered by the CPU time that it used.
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
	f, err := open(ctx, o, fastService)
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

func saturate(ctx context.Context, o Options, f *harness.Fleet, method string, loops int, window time.Duration, t *Table) error {
	r := newRequester()
	defer r.close()
	slot := f.Slots()[0]
	entry, path := f.Entry(slot), "/"+string(synthetic.ServiceName(1))+"/items"
	ready, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	if err := r.awaitWork(ready, entry, path); err != nil {
		return err
	}
	var answered, failed atomic.Int64
	running, stop := context.WithCancel(ctx)
	defer stop()
	p := pool.New()
	for range loops {
		p.Go(func() {
			for running.Err() == nil {
				if _, _, err := r.send(method, entry, path); err != nil {
					failed.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	defer p.Wait()
	defer stop()
	if err := pause.For(ctx, time.Second); err != nil {
		return err
	}
	before, err := readInstance(ctx, f, slot)
	if err != nil {
		return err
	}
	count, bad := answered.Load(), failed.Load()
	if err := pause.For(ctx, window); err != nil {
		return err
	}
	after, err := readInstance(ctx, f, slot)
	if err != nil {
		return err
	}
	count, bad = answered.Load()-count, failed.Load()-bad
	seconds := after.at.Sub(before.at).Seconds()
	cpu := after.values[metricCPU] - before.values[metricCPU]
	name := "GET"
	if method == fasthttp.MethodPost {
		name = "protected POST"
	}
	t.add(name, loops, float64(count)/seconds, bad, cpu/seconds, float64(count)/max(cpu, 1e-9))
	o.Progress(fmt.Sprintf("capacity %v", t.Rows[len(t.Rows)-1]))
	return nil
}

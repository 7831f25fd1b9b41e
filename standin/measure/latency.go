package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
	"galenaridge/standin/synthetic"
)

// The services under latency measurement. The servers enforce more slots than
// the configuration states, so that direct calls beside those of the fleet
// find a slot.
var (
	ownedService     = synthetic.Shape{Instances: 1, Servers: 20, Slots: 4, Spare: 16, Mean: 10 * time.Millisecond}
	forwardedService = synthetic.Shape{Instances: 2, Servers: 1, Slots: 64, Spare: 6, Conns: 390, Mean: 10 * time.Millisecond}
)

const (
	pairWindow      = 5 * time.Second
	shortPairWindow = 2 * time.Second
	workTimeout     = 15 * time.Second
)

func measureLatency(ctx context.Context, o Options) (Result, error) {
	loads := []int{100, 500, 2000}
	if o.Short {
		loads = []int{100, 500}
	}
	owned := latencyTable("Through the owner of 20 servers, 10 ms service time")
	owned.Notes = []string{
		"Requests come in pairs at random times: one through the instance and then one directly to the server that answered it, by the same HTTP client over kept connections. " +
			"The load counts the requests through the fleet; the direct calls come on top. Instance and client are in one failure domain without link delays. " +
			"The added time is the difference of the quantiles of both.",
	}
	if err := ownedLatency(ctx, o, loads, &owned); err != nil {
		return Result{Tables: []Table{owned}}, err
	}
	forwarded := latencyTable("Through the owner and through another instance, one server, 10 ms service time")
	forwarded.Notes = []string{"Both instances are in one failure domain without link delays; the second forwards each request to the first."}
	err := forwardedLatency(ctx, o, loads, &forwarded)
	return Result{Tables: []Table{owned, forwarded}}, err
}

func latencyTable(title string) Table {
	t := Table{Title: title, Columns: []string{"path", "requests a second", "pairs", "failed"}}
	for _, q := range []string{"p50", "p99", "p99.9"} {
		t.Columns = append(t.Columns, q+" direct", q+" through", q+" added")
	}
	return t
}

// ownedLatency measures an instance that owns all servers.
func ownedLatency(ctx context.Context, o Options, loads []int, t *Table) error {
	f, err := open(ctx, o, ownedService)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, load := range loads {
		if err := measurePairs(ctx, o, f, f.Slots()[0], "owner", load, t); err != nil {
			return err
		}
	}
	return nil
}

// forwardedLatency measures the owner of a server and an instance beside it.
func forwardedLatency(ctx context.Context, o Options, loads []int, t *Table) error {
	f, err := open(ctx, o, forwardedService)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	readings, err := readInstances(ctx, f, f.Slots())
	if err != nil {
		return err
	}
	for _, load := range loads {
		for _, slot := range f.Slots() {
			path := "not owner"
			if readings[slot].values[metricOwned] > 0 {
				path = "owner"
			}
			if err := measurePairs(ctx, o, f, slot, path, load, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// measurePairs adds a row for the load on one instance.
func measurePairs(ctx context.Context, o Options, f *harness.Fleet, slot harness.Slot, path string, load int, t *Table) error {
	window := pairWindow
	if o.Short {
		window = shortPairWindow
	}
	p := newPairs(f, slot)
	defer p.requester.close()
	ready, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	if err := p.requester.awaitWork(ready, p.entry, p.path); err != nil {
		return err
	}
	// Connections are opened before the first pair counts.
	if _, err := p.run(ctx, o.Seed, load, time.Second); err != nil {
		return err
	}
	p.reset()
	if _, err := p.run(ctx, o.Seed+1, load, window); err != nil {
		return err
	}
	p.row(t, path, load)
	o.Progress(fmt.Sprintf("latency %s %d/s: %v", path, load, t.Rows[len(t.Rows)-1]))
	return nil
}

// pairs sends pairs of requests. It is the caller of a bench run, which only
// gives the times.
type pairs struct {
	requester requester
	entry     fleet.Address
	path      string
	servers   map[fleet.ServerID]fleet.Address

	mu              sync.Mutex
	through, direct *hdrhistogram.Histogram
	failed          int
	failure         error
}

func newPairs(f *harness.Fleet, slot harness.Slot) *pairs {
	p := &pairs{
		requester: newRequester(),
		entry:     f.Entry(slot),
		path:      "/" + string(synthetic.ServiceName(1)) + "/items",
		servers:   map[fleet.ServerID]fleet.Address{},
	}
	for _, s := range f.Servers() {
		p.servers[s.ID] = s.Address
	}
	p.reset()
	return p
}

func (p *pairs) reset() {
	p.through, p.direct, p.failed = newHistogram(), newHistogram(), 0
}

// newHistogram holds 1 µs to 10 s.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 4)
}

func (p *pairs) run(ctx context.Context, seed uint64, load int, window time.Duration) (bench.Report, error) {
	return bench.Run(ctx, bench.Options{
		Plan: bench.Plan{
			Steps: []bench.Step{{For: window, PerSecond: float64(load)}},
			Mix:   []bench.Kind{{Weight: 1, Service: synthetic.ServiceName(1)}},
			Seed:  seed,
		},
		Caller: p,
		Clock:  clockwork.NewRealClock(),
	})
}

// Do sends one pair. It implements bench.Caller.
func (p *pairs) Do(context.Context, client.Request) (client.Result, error) {
	id, through, err := p.requester.send(fasthttp.MethodGet, p.entry, p.path)
	if err == nil && p.servers[id] == "" {
		err = eris.Errorf("unknown server %q", id)
	}
	var direct time.Duration
	if err == nil {
		_, direct, err = p.requester.send(fasthttp.MethodGet, p.servers[id], "/items")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		p.failure = err
		return client.Result{Outcome: fleet.Unknown}, err
	}
	_ = p.through.RecordValue(through.Microseconds())
	_ = p.direct.RecordValue(direct.Microseconds())
	return client.Result{Outcome: fleet.Done}, nil
}

// row adds the quantiles of both paths to a table.
func (p *pairs) row(t *Table, path string, load int) {
	cells := []any{path, load, p.through.TotalCount(), p.failed}
	for _, percent := range []float64{50, 99, 99.9} {
		direct := micros(p.direct.ValueAtQuantile(percent))
		through := micros(p.through.ValueAtQuantile(percent))
		cells = append(cells, direct, through, through-direct)
	}
	for i, c := range cells {
		if d, ok := c.(time.Duration); ok {
			cells[i] = fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
		}
	}
	t.add(cells...)
	if p.failure != nil {
		t.Notes = append(t.Notes, fmt.Sprintf("Last failure of %s at %d a second: %v.", path, load, p.failure))
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

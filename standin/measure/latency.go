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

// Deployments of the latency measurement. The servers enforce more slots than
// the configuration states, so that direct calls find a free slot in addition
// to the requests of the fleet.
var (
	ownedService     = synthetic.Shape{Instances: 1, Servers: 20, Slots: 4, SlotMultiplier: 16, Mean: 10 * time.Millisecond}
	forwardedService = synthetic.Shape{Instances: 2, Servers: 1, Slots: 64, SlotMultiplier: 6, MaxConns: 390, Mean: 10 * time.Millisecond}
)

const (
	pairWindow           = 5 * time.Second
	shortPairWindow      = 2 * time.Second
	firstResponseTimeout = 15 * time.Second
)

// measureLatency measures the latency that the fleet adds to a request, through
// the owner of a server and through another instance.
func measureLatency(ctx context.Context, o Options) (Result, error) {
	rates := []int{100, 500, 2000}
	if o.Short {
		rates = []int{100, 500}
	}
	owned := newLatencyTable("Through the owner of 20 servers, 10 ms service time")
	owned.Notes = []string{
		"Requests come in pairs at random times: one through the instance and then one directly to the server that answered it, by the same HTTP client over persistent connections. " +
			"The load counts the requests through the fleet; the direct calls come on top. Instance and client are in one failure domain without link delays. " +
			"The added time is the difference of the quantiles of both.",
	}
	if err := ownedLatency(ctx, o, rates, &owned); err != nil {
		return Result{Tables: []Table{owned}}, err
	}
	forwarded := newLatencyTable("Through the owner and through another instance, one server, 10 ms service time")
	forwarded.Notes = []string{"Both instances are in one failure domain without link delays; the second forwards each request to the first."}
	err := forwardedLatency(ctx, o, rates, &forwarded)
	return Result{Tables: []Table{owned, forwarded}}, err
}

// newLatencyTable returns an empty table with columns for the quantiles of
// direct requests, of requests through the fleet, and of their difference.
func newLatencyTable(title string) Table {
	t := Table{Title: title, Columns: []string{"path", "requests a second", "pairs", "failed"}}
	for _, q := range []string{"p50", "p99", "p99.9"} {
		t.Columns = append(t.Columns, q+" direct", q+" through", q+" added")
	}
	return t
}

// ownedLatency measures requests through one instance that owns all servers, at
// each rate in requests a second.
func ownedLatency(ctx context.Context, o Options, rates []int, t *Table) error {
	f, err := openFleet(ctx, o, ownedService)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, rate := range rates {
		if err := measurePairs(ctx, o, f, f.Slots()[0], "owner", rate, t); err != nil {
			return err
		}
	}
	return nil
}

// forwardedLatency measures requests through the owner of a server, and through
// an instance that forwards them to the owner, at each rate in requests a
// second.
func forwardedLatency(ctx context.Context, o Options, rates []int, t *Table) error {
	f, err := openFleet(ctx, o, forwardedService)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	samples, err := readAllMetrics(ctx, f, f.Slots())
	if err != nil {
		return err
	}
	for _, rate := range rates {
		for _, slot := range f.Slots() {
			pathLabel := "not owner"
			if samples[slot].values[metricOwned] > 0 {
				pathLabel = "owner"
			}
			if err := measurePairs(ctx, o, f, slot, pathLabel, rate, t); err != nil {
				return err
			}
		}
	}
	return nil
}

// measurePairs sends pairs of requests through one instance at the given rate
// in requests a second, and adds a row to the table.
func measurePairs(ctx context.Context, o Options, f *harness.Fleet, slot harness.Slot, pathLabel string, rate int, t *Table) error {
	window := pairWindow
	if o.Short {
		window = shortPairWindow
	}
	p := newPairCaller(f, slot)
	defer p.requester.close()
	readyCtx, cancel := context.WithTimeout(ctx, firstResponseTimeout)
	defer cancel()
	if err := p.requester.waitForResponse(readyCtx, p.entry, p.path); err != nil {
		return err
	}
	// The first second opens the connections and is not counted.
	if _, err := p.run(ctx, o.Seed, rate, time.Second); err != nil {
		return err
	}
	p.reset()
	if _, err := p.run(ctx, o.Seed+1, rate, window); err != nil {
		return err
	}
	p.addRow(t, pathLabel, rate)
	o.Progress(fmt.Sprintf("latency %s %d/s: %v", pathLabel, rate, t.Rows[len(t.Rows)-1]))
	return nil
}

// pairCaller sends pairs of requests: one through an instance, and then one
// directly to the server that sent the response. It is the caller of a bench
// run, which only determines the times of the pairs.
type pairCaller struct {
	requester       requester
	entry           fleet.Address
	path            string
	serverAddresses map[fleet.ServerID]fleet.Address

	mu              sync.Mutex
	through, direct *hdrhistogram.Histogram
	failedCount     int
	lastError       error
}

// newPairCaller returns a caller that sends requests through the instance in
// the slot.
func newPairCaller(f *harness.Fleet, slot harness.Slot) *pairCaller {
	p := &pairCaller{
		requester:       newRequester(),
		entry:           f.Entry(slot),
		path:            "/" + string(synthetic.ServiceName(1)) + "/items",
		serverAddresses: map[fleet.ServerID]fleet.Address{},
	}
	for _, s := range f.Servers() {
		p.serverAddresses[s.ID] = s.Address
	}
	p.reset()
	return p
}

// reset discards the recorded durations and the count of failures.
func (p *pairCaller) reset() {
	p.through, p.direct, p.failedCount = newHistogram(), newHistogram(), 0
}

// newHistogram returns a histogram for 1 µs to 10 s, in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 4)
}

// run sends pairs at random times for the window, at the given rate in pairs a
// second.
func (p *pairCaller) run(ctx context.Context, seed uint64, rate int, window time.Duration) (bench.Report, error) {
	return bench.Run(ctx, bench.Options{
		Plan: bench.Plan{
			Steps: []bench.Step{{For: window, PerSecond: float64(rate)}},
			Mix:   []bench.Kind{{Weight: 1, Service: synthetic.ServiceName(1)}},
			Seed:  seed,
		},
		Caller: p,
		Clock:  clockwork.NewRealClock(),
	})
}

// Do sends one pair of requests and records both durations. It ignores its
// arguments and implements bench.Caller.
func (p *pairCaller) Do(context.Context, client.Request) (client.Result, error) {
	id, through, err := p.requester.send(fasthttp.MethodGet, p.entry, p.path)
	if err == nil && p.serverAddresses[id] == "" {
		err = eris.Errorf("unknown server %q", id)
	}
	var direct time.Duration
	if err == nil {
		_, direct, err = p.requester.send(fasthttp.MethodGet, p.serverAddresses[id], "/items")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failedCount++
		p.lastError = err
		return client.Result{Outcome: fleet.Unknown}, err
	}
	_ = p.through.RecordValue(through.Microseconds())
	_ = p.direct.RecordValue(direct.Microseconds())
	return client.Result{Outcome: fleet.Done}, nil
}

// addRow adds a row with the quantiles of both paths and their difference.
func (p *pairCaller) addRow(t *Table, pathLabel string, rate int) {
	cells := []any{pathLabel, rate, p.through.TotalCount(), p.failedCount}
	for _, percent := range []float64{50, 99, 99.9} {
		direct := microseconds(p.direct.ValueAtQuantile(percent))
		through := microseconds(p.through.ValueAtQuantile(percent))
		cells = append(cells, direct, through, through-direct)
	}
	for i, c := range cells {
		if d, ok := c.(time.Duration); ok {
			cells[i] = fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
		}
	}
	t.add(cells...)
	if p.lastError != nil {
		t.Notes = append(t.Notes, fmt.Sprintf("Last failure of %s at %d a second: %v.", pathLabel, rate, p.lastError))
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

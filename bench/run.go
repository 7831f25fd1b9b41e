package bench

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/standin/server"
)

const (
	// eventBuffer keeps senders from waiting for the goroutine that counts.
	eventBuffer = 4096
	// defaultProgressEvery is how often a long run reports.
	defaultProgressEvery = 5 * time.Second
)

// Caller sends one request.
type Caller interface {
	Do(ctx context.Context, request client.Request) (client.Result, error)
}

// Options says how to run a plan.
type Options struct {
	Plan   Plan
	Caller Caller
	// Progress receives the state of the run from time to time; may be nil.
	Progress func(Progress)
	// ProgressInterval is the time between two calls; zero means 5 s.
	ProgressInterval time.Duration
	// Clock is the real one if it is nil.
	Clock clockwork.Clock
}

// run is one run of a plan.
type run struct {
	options  Options
	began    time.Time
	events   chan event
	inFlight atomic.Int64
}

// Run sends the requests of a plan and waits for their ends. The end of the
// context ends the run early; the report then holds what was sent until then.
func Run(ctx context.Context, options Options) (Report, error) {
	plan, err := options.Plan.withDefaults()
	if err != nil {
		return Report{}, err
	}
	if options.Caller == nil {
		return Report{}, eris.Wrap(errPlan, "no caller")
	}
	options.Plan = plan
	setDefault(&options.ProgressInterval, defaultProgressEvery)
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	r := &run{options: options, began: options.Clock.Now(), events: make(chan event, eventBuffer)}
	counts := newTally()
	var counter conc.WaitGroup
	counter.Go(func() { r.count(counts) })
	r.send(ctx)
	close(r.events)
	counter.Wait()
	return counts.report(r.elapsed()), nil
}

// count owns the counts until all events are in.
func (r *run) count(counts *tally) {
	ticker := r.options.Clock.NewTicker(r.options.ProgressInterval)
	defer ticker.Stop()
	for {
		select {
		case e, ok := <-r.events:
			if !ok {
				return
			}
			counts.add(e)
		case <-ticker.Chan():
			if r.options.Progress != nil {
				r.options.Progress(counts.progress(r.elapsed(), int(r.inFlight.Load())))
			}
		}
	}
}

// send starts each request at its time and waits for all ends.
func (r *run) send(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(r.options.Plan.MaxInFlight)
	defer workers.Wait()
	arrivals := newSchedule(r.options.Plan)
	for number := 0; ; number++ {
		due, kind, ok := arrivals.next()
		if !ok || !r.sleepUntil(ctx, due) {
			return
		}
		workers.Go(func() { r.one(number, due, r.options.Plan.Mix[kind]) })
	}
}

// one sends a request and reports its end. It does not end with the context of
// the run, since a request that is given up has no known outcome.
func (r *run) one(number int, due time.Duration, kind Kind) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	caller := fmt.Sprintf("bench-%d-%d", r.options.Plan.Seed, number)
	e := event{kind: kind, caller: caller, due: due, began: r.elapsed()}
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Plan.Deadline)
	defer cancel()
	// The error repeats what the outcome and the code say.
	e.result, _ = r.options.Caller.Do(ctx, request(kind, caller))
	e.ended = r.elapsed()
	if e.result.Outcome == fleet.Done && e.result.Status == http.StatusOK {
		e.wrong = check(kind, caller, e.result)
	}
	r.events <- e
}

// request returns the request of one caller.
func request(kind Kind, caller string) client.Request {
	q := client.Request{
		Service:    kind.Service,
		Method:     kind.Method,
		Path:       kind.Path,
		Headers:    []exchange.Header{{Name: server.HeaderCaller, Value: caller}},
		Tenant:     kind.Tenant,
		Protected:  kind.Protected,
		MaxResends: kind.MaxResends,
	}
	if kind.Protected {
		q.Key = fleet.Key(caller)
	}
	if kind.ResponseBodyBytes > 0 {
		q.Headers = append(q.Headers, exchange.Header{Name: server.HeaderBodySize, Value: strconv.Itoa(kind.ResponseBodyBytes)})
	}
	if kind.RequestBodyBytes > 0 {
		q.Body = make([]byte, kind.RequestBodyBytes)
	}
	return q
}

// sleepUntil waits for a time of the run and reports whether it came before
// the end of the context.
func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := at - r.elapsed()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := r.options.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) elapsed() time.Duration { return r.options.Clock.Since(r.began) }

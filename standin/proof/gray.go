package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/core/questionnaire"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/proof/observe"
	"galenaridge/standin/server"
)

const (
	// grayRate is the load in requests a second for each server: detection
	// needs real requests.
	grayRate = 25
	// grayLimit is how long a proof waits for a detection.
	grayLimit = 15 * time.Second
	// fastTarget and carefulTarget bound the 99th percentile of detection.
	fastTarget    = time.Second
	carefulTarget = 3 * time.Second
	// grayBudget is how many more servers of a service the floor must allow to
	// eject before one of them is made to fail, since what is measured is the
	// detection and not the wait for a permit.
	grayBudget = 1
)

// grayFault is one kind of partial fault. The servers answer probes in all of
// them.
type grayFault struct {
	name  string
	begin func(ctx context.Context, s *stage, target grayTarget) error
	end   func(ctx context.Context, s *stage, target grayTarget) error
}

// grayTarget is a server with its owner.
type grayTarget struct {
	server  fleet.ServerID
	service fleet.ServiceName
	owner   harness.Slot
}

func grayFaults() []grayFault {
	failing := func(fault server.Fault) func(context.Context, *stage, grayTarget) error {
		return func(ctx context.Context, s *stage, t grayTarget) error {
			return s.fleet.SetServerFault(ctx, t.server, fault)
		}
	}
	healthy := failing(server.Fault{})
	return []grayFault{
		{"stall", failing(server.Fault{Kind: server.FaultStall}), healthy},
		{"slow", failing(server.Fault{Kind: server.FaultSlow, Factor: 8}), healthy},
		{"fail", failing(server.Fault{Kind: server.FaultFail, Share: 0.6}), healthy},
		{"flap", failing(server.Fault{Kind: server.FaultFlap, Period: jsontime.Duration(time.Second)}), healthy},
		{"from-some", func(ctx context.Context, s *stage, t grayTarget) error {
			return s.fleet.Cut(ctx, harness.Server(t.server), harness.Instance(t.owner))
		}, func(ctx context.Context, s *stage, t grayTarget) error {
			return s.fleet.Heal(ctx, harness.Server(t.server), harness.Instance(t.owner))
		}},
	}
}

// watch follows states and logs of all instances.
type watch struct {
	journals *observe.LogReader

	mu     sync.Mutex
	states map[harness.Slot]operator.InstanceState
	// ejected is when a sample first showed that a server is ejected.
	ejected map[fleet.ServerID]time.Time
}

func newWatch(s *stage) *watch {
	return &watch{journals: observe.NewLogReader(s.fleet), ejected: map[fleet.ServerID]time.Time{}}
}

// take adds a sample.
func (w *watch) take(at time.Time, states map[harness.Slot]operator.InstanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.states = states
	now := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, e := range state.Ejections {
			now[e.Server] = true
			if _, before := w.ejected[e.Server]; !before {
				w.ejected[e.Server] = at
			}
		}
	}
	for id := range w.ejected {
		if !now[id] {
			delete(w.ejected, id)
		}
	}
}

// out returns when a server was first out after a time: by the logs, or by
// the samples if the logs do not say.
func (w *watch) out(id fleet.ServerID, after time.Time) (time.Time, bool) {
	if c, found := w.journals.FirstOutOfUse(id, after); found {
		return c.At, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at, found := w.ejected[id]
	return at, found && at.After(after)
}

// targets returns the servers that are healthy and have an owner, and that
// the floor of their service allows to eject.
func (w *watch) targets() []grayTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	budget := map[fleet.ServiceName]int{}
	var healthy []grayTarget
	for slot, state := range w.states {
		for _, service := range state.Services {
			if service.IsSteward {
				budget[service.Name] += int(service.UsableServers - service.Floor - 1)
			}
		}
		for _, s := range state.OwnedServers {
			if s.Health == health.Healthy.String() {
				healthy = append(healthy, grayTarget{s.ID, s.Service, slot})
			} else {
				budget[s.Service]--
			}
		}
	}
	healthy = slices.DeleteFunc(healthy, func(t grayTarget) bool { return budget[t.service] < grayBudget })
	slices.SortFunc(healthy, func(a, b grayTarget) int { return strings.Compare(string(a.server), string(b.server)) })
	return healthy
}

// proveGray measures how soon partial faults are detected, and how often a
// server is ejected that has none.
func proveGray(ctx context.Context, options Options, v *Verdict) error {
	if err := proveDetection(ctx, options, v); err != nil {
		return err
	}
	return proveNoise(ctx, options, v)
}

func proveDetection(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "gray", func(d *harness.Deployment, _ *questionnaire.Answers) { d.LinkEach = true })
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.clients()
	if err != nil {
		return err
	}
	defer callers.close()
	if err := s.waitPermits(ctx); err != nil {
		return err
	}
	w := newWatch(s)
	sampling := s.sample(ctx, w.take)
	defer sampling.stop()
	trials := 6
	if options.Short {
		trials = 1
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	times := map[string][]time.Duration{}
	var failure error
	_, err = s.load(loading, bench.Plan{
		Steps: []bench.Step{{For: maxGray, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.serverMix(),
	}, callers, script{{2 * time.Second, "faults", func(context.Context) error {
		defer stop()
		failure = s.grayTrials(ctx, w, trials, times)
		return nil
	}}})
	if failure != nil {
		return failure
	}
	if err != nil {
		return err
	}
	s.judgeDetection(v, times)
	return nil
}

// maxGray bounds the load of the detection trials.
const maxGray = 10 * time.Minute

// serverMix returns reads of all services, in proportion to their servers.
func (s *stage) serverMix() []bench.Kind {
	var kinds []bench.Kind
	for _, service := range s.deployment.Services {
		kinds = append(kinds, readKind(service, float64(service.Servers)))
	}
	return kinds
}

// grayTrials brings each fault about on random servers, one after another.
func (s *stage) grayTrials(ctx context.Context, w *watch, trials int, times map[string][]time.Duration) error {
	used := map[fleet.ServerID]bool{}
	for range trials {
		for _, fault := range grayFaults() {
			target, err := s.grayTarget(ctx, w, used)
			if err != nil {
				return err
			}
			took, err := s.grayTrial(ctx, w, fault, target)
			if err != nil {
				return err
			}
			s.progress("  %s of %s out after %s", fault.name, target.server, took.Round(time.Millisecond))
			times[fault.name] = append(times[fault.name], took)
		}
	}
	return nil
}

// grayTarget picks a healthy server, one that had no fault yet if there is one.
func (s *stage) grayTarget(ctx context.Context, w *watch, used map[fleet.ServerID]bool) (grayTarget, error) {
	var targets []grayTarget
	err := s.await(ctx, time.Minute, "a server is healthy", func() bool {
		targets = w.targets()
		return len(targets) > 0
	})
	if err != nil {
		return grayTarget{}, err
	}
	fresh := slices.DeleteFunc(slices.Clone(targets), func(t grayTarget) bool { return used[t.server] })
	if len(fresh) == 0 {
		clear(used)
		fresh = targets
	}
	target := fresh[s.rng.IntN(len(fresh))]
	used[target.server] = true
	return target, nil
}

// grayTrial brings a fault about and returns the time until the server is out,
// or grayLimit if it stays in use.
func (s *stage) grayTrial(ctx context.Context, w *watch, fault grayFault, target grayTarget) (time.Duration, error) {
	began := time.Now()
	if err := fault.begin(ctx, s, target); err != nil {
		return 0, err
	}
	var at time.Time
	var failure error
	err := s.await(ctx, grayLimit, string(target.server)+" is out", func() bool {
		if failure = w.journals.ReadNew(); failure != nil {
			return true
		}
		var found bool
		at, found = w.out(target.server, began)
		return found
	})
	if failure != nil {
		return 0, failure
	}
	took := grayLimit
	if err == nil {
		took = at.Sub(began)
	}
	return took, fault.end(ctx, s, target)
}

// judgeDetection compares the detection times with the target of the
// preference.
func (s *stage) judgeDetection(v *Verdict, times map[string][]time.Duration) {
	var all []time.Duration
	for _, fault := range grayFaults() {
		found := times[fault.name]
		all = append(all, found...)
		v.note("%s: %s", fault.name, describe(found))
	}
	missed := 0
	for _, took := range all {
		if took >= grayLimit {
			missed++
		}
	}
	v.check(missed == 0, "0", "%d of %d faults not detected", missed, len(all))
	target := carefulTarget
	if s.answers.Detect == fleet.Fast {
		target = fastTarget
	}
	v.timing(quantile(all, 0.99) <= target, "p99 <= "+target.String(), "detection %s", describe(all))
}

// describe returns the median, the 99th percentile and the worst of times.
func describe(times []time.Duration) string {
	return fmt.Sprintf("median %s, p99 %s, worst %s of %d", quantile(times, 0.5).Round(time.Millisecond),
		quantile(times, 0.99).Round(time.Millisecond), quantile(times, 1).Round(time.Millisecond), len(times))
}

// quantile returns the smallest time that the given share of all does not
// exceed.
func quantile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	at := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}

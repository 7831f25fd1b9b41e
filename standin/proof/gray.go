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
	// grayRate is the load in requests per second for each server. Servers
	// respond to probes during partial faults, so only requests show them.
	grayRate = 25
	// detectionTimeout is how long the proof waits for a detection.
	detectionTimeout = 15 * time.Second
	// fastDetectionTarget and carefulDetectionTarget bound the 99th percentile
	// of the detection times.
	fastDetectionTarget    = time.Second
	carefulDetectionTarget = 3 * time.Second
	// minEjectionBudget is how many more servers of a service the floor must
	// allow to eject before a server of the service gets a fault. The proof
	// measures the detection time and not the wait for a permit.
	minEjectionBudget = 1
)

// grayFault is a kind of partial fault, during which servers still respond to
// probes.
type grayFault struct {
	name  string
	begin func(ctx context.Context, s *system, target grayTarget) error
	end   func(ctx context.Context, s *system, target grayTarget) error
}

// grayTarget is the server that gets a fault, with its owner.
type grayTarget struct {
	server  fleet.ServerID
	service fleet.ServiceName
	owner   harness.Slot
}

func grayFaults() []grayFault {
	serverFault := func(fault server.Fault) func(context.Context, *system, grayTarget) error {
		return func(ctx context.Context, s *system, t grayTarget) error {
			return s.fleet.SetServerFault(ctx, t.server, fault)
		}
	}
	clearFault := serverFault(server.Fault{})
	return []grayFault{
		{"stall", serverFault(server.Fault{Kind: server.FaultStall}), clearFault},
		{"slow", serverFault(server.Fault{Kind: server.FaultSlow, Factor: 8}), clearFault},
		{"fail", serverFault(server.Fault{Kind: server.FaultFail, Share: 0.6}), clearFault},
		{"flap", serverFault(server.Fault{Kind: server.FaultFlap, Period: jsontime.Duration(time.Second)}), clearFault},
		{"from-some", func(ctx context.Context, s *system, t grayTarget) error {
			return s.fleet.Cut(ctx, harness.Server(t.server), harness.Instance(t.owner))
		}, func(ctx context.Context, s *system, t grayTarget) error {
			return s.fleet.Heal(ctx, harness.Server(t.server), harness.Instance(t.owner))
		}},
	}
}

// ejectionObserver detects ejections in the states and logs of all instances.
// It is safe for concurrent use, except for logs.
type ejectionObserver struct {
	logs *observe.LogReader

	mu     sync.Mutex
	states map[harness.Slot]operator.InstanceState
	// ejectedAt is the time of the first sample in which each server was
	// ejected; reinstated servers are removed.
	ejectedAt map[fleet.ServerID]time.Time
}

func newObserver(s *system) *ejectionObserver {
	return &ejectionObserver{logs: observe.NewLogReader(s.fleet), ejectedAt: map[fleet.ServerID]time.Time{}}
}

// addSample adds the states of the instances that responded at a time.
func (o *ejectionObserver) addSample(at time.Time, states map[harness.Slot]operator.InstanceState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.states = states
	current := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, e := range state.Ejections {
			current[e.Server] = true
			if _, known := o.ejectedAt[e.Server]; !known {
				o.ejectedAt[e.Server] = at
			}
		}
	}
	for id := range o.ejectedAt {
		if !current[id] {
			delete(o.ejectedAt, id)
		}
	}
}

// outOfUseAt returns the time of the first event in the logs, later than the
// given time, that takes a server out of use. Without such an event it returns
// the time of the first sample with the ejection, if that is later than the
// given time.
func (o *ejectionObserver) outOfUseAt(id fleet.ServerID, after time.Time) (time.Time, bool) {
	if event, found := o.logs.FirstOutOfUse(id, after); found {
		return event.At, true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.ejectedAt[id]
	return at, found && at.After(after)
}

// faultCandidates returns the healthy servers with an owner, of the services
// whose floor allows minEjectionBudget more ejections.
func (o *ejectionObserver) faultCandidates() []grayTarget {
	o.mu.Lock()
	defer o.mu.Unlock()
	ejectable := map[fleet.ServiceName]int{}
	var candidates []grayTarget
	for slot, state := range o.states {
		for _, service := range state.Services {
			if service.IsSteward {
				ejectable[service.Name] += int(service.UsableServers - service.Floor - 1)
			}
		}
		for _, s := range state.OwnedServers {
			if s.Health == health.Healthy.String() {
				candidates = append(candidates, grayTarget{s.ID, s.Service, slot})
			} else {
				ejectable[s.Service]--
			}
		}
	}
	candidates = slices.DeleteFunc(candidates, func(t grayTarget) bool { return ejectable[t.service] < minEjectionBudget })
	slices.SortFunc(candidates, func(a, b grayTarget) int { return strings.Compare(string(a.server), string(b.server)) })
	return candidates
}

// proveGray measures how soon partial faults are detected, and how often
// healthy servers are ejected.
func proveGray(ctx context.Context, options Options, v *Verdict) error {
	if err := proveDetection(ctx, options, v); err != nil {
		return err
	}
	return proveNoise(ctx, options, v)
}

func proveDetection(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "gray", func(d *harness.Deployment, _ *questionnaire.Answers) { d.LinksPerInstance = true })
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	if err := s.waitPermits(ctx); err != nil {
		return err
	}
	observer := newObserver(s)
	sampling := s.startSampling(ctx, observer.addSample)
	defer sampling.stop()
	trials := 6
	if options.Short {
		trials = 1
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	detectionTimes := map[string][]time.Duration{}
	var trialErr error
	_, err = s.runLoad(loadCtx, bench.Plan{
		Steps: []bench.Step{{For: maxDetectionLoad, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.readMix(),
	}, callers, script{{2 * time.Second, "faults", func(context.Context) error {
		defer stopLoad()
		trialErr = s.runGrayTrials(ctx, observer, trials, detectionTimes)
		return nil
	}}})
	if trialErr != nil {
		return trialErr
	}
	if err != nil {
		return err
	}
	s.checkDetection(v, detectionTimes)
	return nil
}

// maxDetectionLoad bounds the load, which ends earlier when all trials are
// done.
const maxDetectionLoad = 10 * time.Minute

// readMix returns reads of all services, in proportion to their numbers of
// servers.
func (s *system) readMix() []bench.Kind {
	var kinds []bench.Kind
	for _, service := range s.deployment.Services {
		kinds = append(kinds, readKind(service, float64(service.Servers)))
	}
	return kinds
}

// runGrayTrials injects each fault into random servers, one after another, and
// adds the detection times to detectionTimes by the name of the fault.
func (s *system) runGrayTrials(ctx context.Context, observer *ejectionObserver, trials int, detectionTimes map[string][]time.Duration) error {
	used := map[fleet.ServerID]bool{}
	for range trials {
		for _, fault := range grayFaults() {
			target, err := s.pickGrayTarget(ctx, observer, used)
			if err != nil {
				return err
			}
			detectionTime, err := s.runGrayTrial(ctx, observer, fault, target)
			if err != nil {
				return err
			}
			s.progress("  %s of %s: out of use after %s", fault.name, target.server, detectionTime.Round(time.Millisecond))
			detectionTimes[fault.name] = append(detectionTimes[fault.name], detectionTime)
		}
	}
	return nil
}

// pickGrayTarget returns a random fault candidate, preferably one that had no
// fault yet.
func (s *system) pickGrayTarget(ctx context.Context, observer *ejectionObserver, used map[fleet.ServerID]bool) (grayTarget, error) {
	var candidates []grayTarget
	err := s.waitUntil(ctx, time.Minute, "a healthy server may be ejected", func() bool {
		candidates = observer.faultCandidates()
		return len(candidates) > 0
	})
	if err != nil {
		return grayTarget{}, err
	}
	unused := slices.DeleteFunc(slices.Clone(candidates), func(t grayTarget) bool { return used[t.server] })
	if len(unused) == 0 {
		clear(used)
		unused = candidates
	}
	target := unused[s.rng.IntN(len(unused))]
	used[target.server] = true
	return target, nil
}

// runGrayTrial injects a fault and returns the time until the server is out of
// use, or detectionTimeout if it stays in use that long.
func (s *system) runGrayTrial(ctx context.Context, observer *ejectionObserver, fault grayFault, target grayTarget) (time.Duration, error) {
	faultAt := time.Now()
	if err := fault.begin(ctx, s, target); err != nil {
		return 0, err
	}
	var outAt time.Time
	var readErr error
	err := s.waitUntil(ctx, detectionTimeout, string(target.server)+" is out of use", func() bool {
		if readErr = observer.logs.ReadNew(); readErr != nil {
			return true
		}
		var found bool
		outAt, found = observer.outOfUseAt(target.server, faultAt)
		return found
	})
	if readErr != nil {
		return 0, readErr
	}
	detectionTime := detectionTimeout
	if err == nil {
		detectionTime = outAt.Sub(faultAt)
	}
	return detectionTime, fault.end(ctx, s, target)
}

// checkDetection compares the detection times with the target for the detection
// preference in the answers.
func (s *system) checkDetection(v *Verdict, detectionTimes map[string][]time.Duration) {
	var all []time.Duration
	for _, fault := range grayFaults() {
		times := detectionTimes[fault.name]
		all = append(all, times...)
		v.addNote("%s: %s", fault.name, summarizeTimes(times))
	}
	undetected := 0
	for _, detectionTime := range all {
		if detectionTime >= detectionTimeout {
			undetected++
		}
	}
	v.addCheck(undetected == 0, "0", "%d of %d faults not detected", undetected, len(all))
	target := carefulDetectionTarget
	if s.answers.Detect == fleet.Fast {
		target = fastDetectionTarget
	}
	v.addTimingCheck(quantile(all, 0.99) <= target, "p99 <= "+target.String(), "detection %s", summarizeTimes(all))
}

// summarizeTimes formats the median, the 99th percentile and the maximum of
// times.
func summarizeTimes(times []time.Duration) string {
	return fmt.Sprintf("median %s, p99 %s, worst %s of %d", quantile(times, 0.5).Round(time.Millisecond),
		quantile(times, 0.99).Round(time.Millisecond), quantile(times, 1).Round(time.Millisecond), len(times))
}

// quantile returns the smallest of the times that the given fraction of all
// times does not exceed, or 0 without times.
func quantile(times []time.Duration, fraction float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	index := int(fraction*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/caller"
)

// stopLoadShare is the load as a share of the capacity. It is low, since under
// an overload requests may time out without any stop.
const stopLoadShare = 0.08

// newStickyCallers returns one sticky caller for each failure domain.
func (s *system) newStickyCallers(rawClient *caller.RawClient) *caller.RoundRobin[*caller.StickyCaller] {
	callers := &caller.RoundRobin[*caller.StickyCaller]{}
	for n := range s.deployment.Domains {
		callers.Callers = append(callers.Callers, caller.NewStickyCaller(s.callerOptions(rawClient, n)))
	}
	return callers
}

// maxLoggedInterruptions bounds the interrupted requests that each log
// describes.
const maxLoggedInterruptions = 10

// interruptionLog sends requests with the next caller, and describes those that
// were interrupted, so that their outcome is unknown. It is safe for concurrent
// use.
type interruptionLog struct {
	system *system
	name   string
	next   bench.Caller

	mu           sync.Mutex
	descriptions []string
}

// Do implements bench.Caller.
func (l *interruptionLog) Do(ctx context.Context, q client.Request) (client.Result, error) {
	sentAt := time.Now()
	result, err := l.next.Do(ctx, q)
	if result.Outcome != fleet.Unknown {
		return result, err
	}
	slot, _ := l.system.slotOfAddress(result.Address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.descriptions) < maxLoggedInterruptions {
		l.descriptions = append(l.descriptions, fmt.Sprintf("%s: %s %s cut at %s, %s to %s: %s %s %v", l.name, q.Method, q.Service,
			slot, sentAt.UTC().Format("15:04:05.000"), time.Now().UTC().Format("15:04:05.000"), result.Code, result.Message, err))
	}
	return result, err
}

// proveStop shows that a planned stop interrupts no request. Every instance is
// stopped and replaced under load, one after another.
func proveStop(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "stop", func(_ *harness.Deployment, a *questionnaire.Answers) {
		if options.Short {
			a.Limits.AssignmentTTL = time.Second
		}
	})
	if err != nil {
		return err
	}
	defer s.close()
	standardCallers, err := s.newClients()
	if err != nil {
		return err
	}
	defer standardCallers.close()
	rawClient := caller.NewRawClient(s.fleet.ClientDialAddresses())
	defer rawClient.Close()
	stickyCallers := s.newStickyCallers(rawClient)
	logs := []*interruptionLog{{system: s, name: "follower", next: standardCallers}, {system: s, name: "keeper", next: stickyCallers}}
	callers := &caller.RoundRobin[*interruptionLog]{Callers: logs}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var rollingErr error
	replaced := 0
	var longestStop time.Duration
	rolling := script{{time.Second, "stop and replace every instance", func(context.Context) error {
		defer stopLoad()
		replaced, longestStop, rollingErr = s.rollingStop(ctx)
		return nil
	}}}
	report, err := s.runLoad(loadCtx, bench.Plan{
		Steps: []bench.Step{{For: maxRollingStop, PerSecond: stopLoadShare * s.totalCapacity()}},
		Mix:   s.capacityMix(),
	}, callers, rolling)
	if rollingErr != nil {
		return rollingErr
	}
	if err != nil {
		return err
	}
	refused := 0
	for _, sticky := range stickyCallers.Callers {
		refused += sticky.RefusedConnections()
	}
	interrupted := report.Total.Unknown
	v.addCheck(interrupted == 0, "0", "%d requests cut of %d", interrupted, report.Total.Offered)
	v.addCheck(report.Total.Wrong == 0, "0", "%d wrong answers", report.Total.Wrong)
	v.addCheck(replaced == len(s.fleet.Slots()), "all", "%d of %d instances stopped and replaced", replaced, len(s.fleet.Slots()))
	v.addCheck(2*report.Total.Good > report.Total.Offered, "most", "%d good", report.Total.Good)
	v.addNote("%d not run, %d stale connections refused, longest stop %s, codes %v",
		report.Total.NotRun, refused, longestStop.Round(time.Millisecond), countCodes(report))
	for _, log := range logs {
		for _, description := range log.descriptions {
			v.addNote("%s", description)
		}
	}
	return nil
}

// maxRollingStop bounds the load, which ends earlier when all instances are
// replaced.
const maxRollingStop = 5 * time.Minute

// rollingStop stops and replaces all instances, one after another. It returns
// the number of replaced instances and the longest duration of a stop.
func (s *system) rollingStop(ctx context.Context) (int, time.Duration, error) {
	replaced := 0
	var longestStop time.Duration
	for _, slot := range s.fleet.Slots() {
		s.progress("  stop %s", slot)
		stopAt := time.Now()
		if err := stopAndReplace(ctx, s, slot); err != nil {
			return replaced, longestStop, err
		}
		longestStop = max(longestStop, time.Since(stopAt))
		if err := s.fleet.WaitReady(ctx); err != nil {
			return replaced, longestStop, err
		}
		replaced++
	}
	sleep(ctx, time.Second)
	return replaced, longestStop, nil
}

// countCodes returns the number of results with each code.
func countCodes(report bench.Report) map[string]int {
	counts := map[string]int{}
	for _, group := range report.Groups {
		for code, n := range group.Codes {
			counts[string(code)] += n
		}
	}
	return counts
}

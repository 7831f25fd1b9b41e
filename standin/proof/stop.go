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

// stopLoad is the share of what the servers bear; a stop must not meet an
// overload, in which requests may time out.
const stopLoad = 0.08

// keepers returns one caller that keeps its assignments for each failure
// domain.
func (s *stage) keepers(wire *caller.RawClient) *caller.RoundRobin[*caller.StickyCaller] {
	all := &caller.RoundRobin[*caller.StickyCaller]{}
	for n := range s.deployment.Domains {
		all.Callers = append(all.Callers, caller.NewStickyCaller(s.callerOptions(wire, n)))
	}
	return all
}

// maxCuts bounds the cut requests that a proof describes.
const maxCuts = 10

// cutLog describes the requests of a caller that were cut.
type cutLog struct {
	stage  *stage
	name   string
	sender bench.Caller

	mu   sync.Mutex
	cuts []string
}

// Do implements bench.Caller.
func (c *cutLog) Do(ctx context.Context, q client.Request) (client.Result, error) {
	began := time.Now()
	result, err := c.sender.Do(ctx, q)
	if result.Outcome != fleet.Unknown {
		return result, err
	}
	slot, _ := c.stage.slotAt(result.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) < maxCuts {
		c.cuts = append(c.cuts, fmt.Sprintf("%s: %s %s cut at %s, %s to %s: %s %s %v", c.name, q.Method, q.Service,
			slot, began.UTC().Format("15:04:05.000"), time.Now().UTC().Format("15:04:05.000"), result.Code, result.Message, err))
	}
	return result, err
}

// proveStop shows that a planned stop cuts no request: every instance is
// stopped and replaced under load, one after another.
func proveStop(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "stop", func(_ *harness.Deployment, a *questionnaire.Answers) {
		if options.Short {
			a.Limits.AssignmentTTL = time.Second
		}
	})
	if err != nil {
		return err
	}
	defer s.close()
	followers, err := s.clients()
	if err != nil {
		return err
	}
	defer followers.close()
	wire := caller.NewRawClient(s.fleet.ClientVia())
	defer wire.Close()
	stubborn := s.keepers(wire)
	logs := []*cutLog{{stage: s, name: "follower", sender: followers}, {stage: s, name: "keeper", sender: stubborn}}
	all := &caller.RoundRobin[*cutLog]{Callers: logs}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var failure error
	stopped := 0
	var longest time.Duration
	rolling := script{{time.Second, "stop and replace every instance", func(context.Context) error {
		defer stop()
		stopped, longest, failure = s.rollingStop(ctx)
		return nil
	}}}
	report, err := s.load(loading, bench.Plan{
		Steps: []bench.Step{{For: maxStop, PerSecond: stopLoad * s.capacity()}},
		Mix:   s.capacityMix(),
	}, all, rolling)
	if failure != nil {
		return failure
	}
	if err != nil {
		return err
	}
	refused := 0
	for _, k := range stubborn.Callers {
		refused += k.RefusedConnections()
	}
	cut := report.Total.Unknown
	v.check(cut == 0, "0", "%d requests cut of %d", cut, report.Total.Offered)
	v.check(report.Total.Wrong == 0, "0", "%d wrong answers", report.Total.Wrong)
	v.check(stopped == len(s.fleet.Slots()), "all", "%d of %d instances stopped and replaced", stopped, len(s.fleet.Slots()))
	v.check(2*report.Total.Good > report.Total.Offered, "most", "%d good", report.Total.Good)
	v.note("%d not run, %d stale connections refused, longest stop %s, codes %v",
		report.Total.NotRun, refused, longest.Round(time.Millisecond), codes(report))
	for _, log := range logs {
		for _, cut := range log.cuts {
			v.note("%s", cut)
		}
	}
	return nil
}

// maxStop bounds the load of a rolling stop.
const maxStop = 5 * time.Minute

// rollingStop stops and replaces all instances, one after another, and
// returns how many and the longest time of a stop.
func (s *stage) rollingStop(ctx context.Context) (int, time.Duration, error) {
	stopped := 0
	var longest time.Duration
	for _, slot := range s.fleet.Slots() {
		s.progress("  stop %s", slot)
		began := time.Now()
		if err := stopAndReplace(ctx, s, slot); err != nil {
			return stopped, longest, err
		}
		longest = max(longest, time.Since(began))
		if err := s.fleet.WaitReady(ctx); err != nil {
			return stopped, longest, err
		}
		stopped++
	}
	sleep(ctx, time.Second)
	return stopped, longest, nil
}

// codes returns how often each code was given.
func codes(report bench.Report) map[string]int {
	all := map[string]int{}
	for _, g := range report.Groups {
		for code, n := range g.Codes {
			all[string(code)] += n
		}
	}
	return all
}

package proof

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
	"galenaridge/standin/server"
)

const (
	// wholeDeadline is shorter than what a slow server takes, so that its
	// answers come late.
	wholeDeadline = 400 * time.Millisecond
	// lateFactor makes a service time of 20 ms longer than the deadline.
	lateFactor = 30
	// truncateShare keeps a truncating server in use for a while.
	truncateShare = 0.3
	lateShare     = 0.2
	// largeBody is just below the largest body that instances buffer.
	largeBody = 1<<20 - 4096
)

// inspector counts answers that do not have the digest that the server gave.
type inspector struct {
	caller    bench.Caller
	answers   atomic.Int64
	truncated atomic.Int64
}

// Do implements bench.Caller.
func (i *inspector) Do(ctx context.Context, q client.Request) (client.Result, error) {
	result, err := i.caller.Do(ctx, q)
	if result.Outcome == fleet.Done && result.Status == http.StatusOK {
		i.answers.Add(1)
		if server.Digest(result.Body) != result.Header(server.HeaderBodyDigest) {
			i.truncated.Add(1)
		}
	}
	return result, err
}

// proveWhole shows that callers get the whole answer to their own request
// while servers truncate answers, stall and answer late.
func proveWhole(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "whole", nil)
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.clients()
	if err != nil {
		return err
	}
	defer callers.close()
	runFor := 30 * time.Second
	if options.Short {
		runFor = 5 * time.Second
	}
	inspected := &inspector{caller: callers}
	report, err := s.load(ctx, bench.Plan{
		Steps:    []bench.Step{{For: runFor, PerSecond: 250}},
		Mix:      s.bodyMix(),
		Deadline: wholeDeadline,
	}, inspected, s.answerFaults(runFor))
	if err != nil {
		return err
	}
	stats, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return err
	}
	truncated, aborted := 0, 0
	for _, one := range stats {
		truncated += one.Failed
		aborted += one.Aborted
	}
	v.check(report.Total.Wrong == 0, "0", "%d wrong answers of %d", report.Total.Wrong, report.Total.Done)
	v.check(inspected.truncated.Load() == 0, "0", "%d truncated passed off as whole", inspected.truncated.Load())
	v.check(report.Total.Good > 0 && inspected.answers.Load() > 0, "> 0", "%d good answers", report.Total.Good)
	v.check(truncated > 0, "> 0", "%d answers truncated by servers", truncated)
	v.check(aborted > 0, "> 0", "%d answers stalled or late", aborted)
	v.note("%d not run, %d unknown", report.Total.NotRun, report.Total.Unknown)
	for _, example := range report.Examples {
		v.note("%s", example)
	}
	return nil
}

// bodyMix returns reads with answers of many sizes and requests with bodies.
func (s *stage) bodyMix() []bench.Kind {
	var kinds []bench.Kind
	for _, service := range s.deployment.Services {
		json := readKind(service, 4)
		tiny, medium, large := json, json, json
		tiny.ResponseBodyBytes = 7
		medium.ResponseBodyBytes = 40_000
		large.ResponseBodyBytes, large.Weight = largeBody, 0.3
		kinds = append(kinds, json, tiny, medium, large)
	}
	for _, kind := range protectedKinds(s.answers) {
		kind.RequestBodyBytes = 20_000
		kinds = append(kinds, kind)
	}
	return kinds
}

// answerFaults returns a script in which servers of each service truncate,
// answer late and flap, in turns, while links hold some answers back.
func (s *stage) answerFaults(during time.Duration) script {
	faults := []server.Fault{
		{Kind: server.FaultTruncate, Share: truncateShare, Seed: s.options.Seed},
		{Kind: server.FaultSlow, Factor: lateFactor, Share: lateShare, Seed: s.options.Seed},
		{Kind: server.FaultFlap, Period: jsontime.Duration(700 * time.Millisecond)},
	}
	const rounds = 3
	all := script{{0, "links hold some answers back", func(ctx context.Context) error {
		share, stall := 0.01, jsontime.Duration(wholeDeadline)
		return s.fleet.ChangeLinks(ctx, harness.Domain(s.deployment.Domains[0]), harness.Domain(s.deployment.Domains[1]),
			link.Change{StallShare: &share, Stall: &stall})
	}}}
	for round := range rounds {
		at := 500*time.Millisecond + time.Duration(round)*during/rounds
		all = append(all, step{at, "servers truncate, answer late and flap", func(ctx context.Context) error {
			return s.faultSome(ctx, faults, round)
		}})
	}
	return all
}

// faultSome gives every third server of each service one of the faults, and
// ends the faults of the others. Each round starts at another server.
func (s *stage) faultSome(ctx context.Context, faults []server.Fault, round int) error {
	number := 0
	for _, service := range s.deployment.Services {
		for n := range service.Servers {
			fault := server.Fault{}
			if (n+round)%3 == 0 {
				fault = faults[number%len(faults)]
				number++
			}
			if err := s.fleet.SetServerFault(ctx, harness.ServerName(service.Name, n+1), fault); err != nil {
				return err
			}
		}
	}
	return nil
}

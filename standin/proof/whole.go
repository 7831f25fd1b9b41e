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
	// wholeDeadline is shorter than the service time of a slow server, so that
	// the responses of slow servers are late.
	wholeDeadline = 400 * time.Millisecond
	// lateFactor makes a service time of 20 ms longer than wholeDeadline.
	lateFactor = 30
	// truncateShare is low enough that a truncating server stays in use for a
	// while.
	truncateShare = 0.3
	// lateShare is the share of its requests that a slow server delays.
	lateShare = 0.2
	// largeBodyBytes is just below the largest body that instances buffer.
	largeBodyBytes = 1<<20 - 4096
)

// digestChecker sends requests with the next caller, and counts the responses
// whose body does not match the digest that the server sent.
type digestChecker struct {
	next       bench.Caller
	responses  atomic.Int64
	mismatches atomic.Int64
}

// Do implements bench.Caller.
func (c *digestChecker) Do(ctx context.Context, q client.Request) (client.Result, error) {
	result, err := c.next.Do(ctx, q)
	if result.Outcome == fleet.Done && result.Status == http.StatusOK {
		c.responses.Add(1)
		if server.Digest(result.Body) != result.Header(server.HeaderBodyDigest) {
			c.mismatches.Add(1)
		}
	}
	return result, err
}

// proveWhole shows that callers receive complete responses to their own
// requests while servers truncate responses, stall and respond late.
func proveWhole(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "whole", nil)
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	runFor := 30 * time.Second
	if options.Short {
		runFor = 5 * time.Second
	}
	checker := &digestChecker{next: callers}
	report, err := s.runLoad(ctx, bench.Plan{
		Steps:    []bench.Step{{For: runFor, PerSecond: 250}},
		Mix:      s.bodyMix(),
		Deadline: wholeDeadline,
	}, checker, s.responseFaults(runFor))
	if err != nil {
		return err
	}
	stats, err := s.fleet.ServerStats(ctx)
	if err != nil {
		return err
	}
	truncated, aborted := 0, 0
	for _, serverStats := range stats {
		truncated += serverStats.Failed
		aborted += serverStats.Aborted
	}
	v.addCheck(report.Total.Wrong == 0, "0", "%d wrong answers of %d", report.Total.Wrong, report.Total.Done)
	v.addCheck(checker.mismatches.Load() == 0, "0", "%d truncated passed off as whole", checker.mismatches.Load())
	v.addCheck(report.Total.Good > 0 && checker.responses.Load() > 0, "> 0", "%d good answers", report.Total.Good)
	v.addCheck(truncated > 0, "> 0", "%d answers truncated by servers", truncated)
	v.addCheck(aborted > 0, "> 0", "%d answers stalled or late", aborted)
	v.addNote("%d not run, %d unknown", report.Total.NotRun, report.Total.Unknown)
	for _, example := range report.Examples {
		v.addNote("%s", example)
	}
	return nil
}

// bodyMix returns reads with responses of several sizes, and protected requests
// with bodies.
func (s *system) bodyMix() []bench.Kind {
	var kinds []bench.Kind
	for _, service := range s.deployment.Services {
		plain := readKind(service, 4)
		tiny, medium, large := plain, plain, plain
		tiny.ResponseBodyBytes = 7
		medium.ResponseBodyBytes = 40_000
		large.ResponseBodyBytes, large.Weight = largeBodyBytes, 0.3
		kinds = append(kinds, plain, tiny, medium, large)
	}
	for _, kind := range protectedKinds(s.answers) {
		kind.RequestBodyBytes = 20_000
		kinds = append(kinds, kind)
	}
	return kinds
}

// responseFaults returns a script in which servers truncate responses, respond
// late or flap, while links delay some responses. The faults move to other
// servers in each of three rounds.
func (s *system) responseFaults(duration time.Duration) script {
	faults := []server.Fault{
		{Kind: server.FaultTruncate, Share: truncateShare, Seed: s.options.Seed},
		{Kind: server.FaultSlow, Factor: lateFactor, Share: lateShare, Seed: s.options.Seed},
		{Kind: server.FaultFlap, Period: jsontime.Duration(700 * time.Millisecond)},
	}
	const rounds = 3
	steps := script{{0, "links delay some responses", func(ctx context.Context) error {
		share, stall := 0.01, jsontime.Duration(wholeDeadline)
		return s.fleet.ChangeLinks(ctx, harness.Domain(s.deployment.Domains[0]), harness.Domain(s.deployment.Domains[1]),
			link.Change{StallShare: &share, Stall: &stall})
	}}}
	for round := range rounds {
		offset := 500*time.Millisecond + time.Duration(round)*duration/rounds
		steps = append(steps, step{offset, "servers truncate responses, respond late and flap", func(ctx context.Context) error {
			return s.setRoundFaults(ctx, faults, round)
		}})
	}
	return steps
}

// setRoundFaults sets the faults of a round: every third server of each service
// gets one of the faults, and the other servers become healthy. Each round
// starts at another server.
func (s *system) setRoundFaults(ctx context.Context, faults []server.Fault, round int) error {
	faultCount := 0
	for _, service := range s.deployment.Services {
		for n := range service.Servers {
			fault := server.Fault{}
			if (n+round)%3 == 0 {
				fault = faults[faultCount%len(faults)]
				faultCount++
			}
			if err := s.fleet.SetServerFault(ctx, harness.ServerName(service.Name, n+1), fault); err != nil {
				return err
			}
		}
	}
	return nil
}

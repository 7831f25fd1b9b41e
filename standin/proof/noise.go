package proof

import (
	"context"
	"fmt"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/standin/harness"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/link"
	"galenaridge/standin/server"
)

const (
	// minNoiseRequests is the minimum of good requests, as a mean per server.
	minNoiseRequests = 20
	// noiseServiceTime is long enough that the machine can carry the load of
	// the burst.
	noiseServiceTime = 100 * time.Millisecond
	// noiseLoadShare and noiseBurstShare are the load as a share of the
	// capacity of all servers, outside of the burst and during it.
	noiseLoadShare  = 0.5
	noiseBurstShare = 1.5
	serverPauseTime = 400 * time.Millisecond
	// serverRestartTime is how long a restarted server stays down.
	serverRestartTime = time.Second
	// noiseJitter exceeds the delay of links between failure domains without
	// noise.
	noiseJitter = 20 * time.Millisecond
	// After a start, the first coldRequests of a server take coldFactor times
	// as long as later requests.
	coldRequests = 20
	coldFactor   = 4
)

// proveNoise counts the ejections of healthy servers while the network, the
// load and other servers disturb them.
func proveNoise(ctx context.Context, options Options, v *Verdict) error {
	var separate []fleet.ServerID
	s, err := startSystem(ctx, options, "noise", func(d *harness.Deployment, _ *questionnaire.Answers) {
		for i := range d.Services {
			service := &d.Services[i]
			service.Mean, service.Jitter = noiseServiceTime, noiseServiceTime*2/5
			service.Cold, service.ColdFactor = coldRequests, coldFactor
			separate = append(separate, harness.ServerName(service.Name, 1), harness.ServerName(service.Name, 2))
		}
		d.SeparateServers = separate
	})
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	calmTime, burstTime := 15*time.Second, 5*time.Second
	if options.Short {
		calmTime, burstTime = 2*time.Second, time.Second
	}
	observer := newObserver(s)
	sampling := s.startSampling(ctx, observer.addSample)
	defer sampling.stop()
	startedAt := time.Now()
	load := s.totalCapacity() * noiseLoadShare
	report, err := s.runLoad(ctx, bench.Plan{
		Steps: []bench.Step{{For: calmTime, PerSecond: load}, {For: burstTime, PerSecond: s.totalCapacity() * noiseBurstShare}, {For: calmTime, PerSecond: load}},
		Mix:   s.capacityMix(),
	}, callers, s.noiseScript(separate, calmTime, burstTime))
	if err != nil {
		return err
	}
	endedAt := time.Now()
	if err := observer.logs.ReadNew(); err != nil {
		return err
	}
	ejections := observer.logs.Ejections(startedAt, endedAt)
	serverHours := endedAt.Sub(startedAt).Hours() * float64(len(s.fleet.Servers()))
	target := "few"
	if s.answers.Detect == fleet.Careful {
		target = "0"
	}
	v.addTimingCheck(len(ejections) == 0 || s.answers.Detect == fleet.Fast, target,
		"%d false ejections in %.2f server-hours of noise (%.1f an hour)", len(ejections), serverHours, float64(len(ejections))/serverHours)
	for _, ejection := range ejections[:min(len(ejections), 10)] {
		v.addNote("%s ejected as %s %.2fs after the start of the noise", ejection.Server, ejection.Reason, ejection.At.Sub(startedAt).Seconds())
	}
	// All servers start cold, so a short run refuses many requests. The check
	// needs enough requests per server for a judgement of its health.
	minGood := minNoiseRequests * len(s.fleet.Servers())
	v.addCheck(report.Total.Good >= minGood, fmt.Sprintf(">= %d", minGood), "%d of %d requests good in noise", report.Total.Good, report.Total.Offered)
	return nil
}

// noiseScript returns a script of disturbances that must not eject servers:
// network jitter and stalls, wrong load reports, short pauses of servers and a
// cold restart.
func (s *system) noiseScript(separate []fleet.ServerID, calmTime, burstTime time.Duration) script {
	share, stall, jitter := 0.002, jsontime.Duration(200*time.Millisecond), jsontime.Duration(noiseJitter)
	steps := script{{0, "jitter between failure domains", func(ctx context.Context) error {
		for _, from := range s.deployment.Domains {
			for _, to := range s.deployment.Domains {
				if from == to {
					continue
				}
				change := link.Change{Jitter: &jitter, StallShare: &share, Stall: &stall}
				if err := s.fleet.ChangeLinks(ctx, harness.Domain(from), harness.Domain(to), change); err != nil {
					return err
				}
			}
		}
		return nil
	}}, {calmTime / 4, "misreported load", s.misreportLoad}}
	for n, id := range separate {
		offset := calmTime/3 + time.Duration(n)*calmTime/time.Duration(2*len(separate))
		steps = append(steps, step{offset, "pause " + string(id), func(ctx context.Context) error {
			if err := s.fleet.PauseServer(id); err != nil {
				return err
			}
			sleep(ctx, serverPauseTime)
			return s.fleet.ResumeServer(id)
		}})
	}
	return append(steps, step{calmTime + burstTime + calmTime/4, "restart " + string(separate[0]) + " cold", func(ctx context.Context) error {
		if err := s.fleet.KillServer(ctx, separate[0]); err != nil {
			return err
		}
		sleep(ctx, serverRestartTime)
		return s.fleet.RestartServer(ctx, separate[0])
	}})
}

// misreportLoad makes every fourth server report a wrong load: 0 and 50 in
// turn.
func (s *system) misreportLoad(ctx context.Context) error {
	for n, listed := range s.fleet.Servers() {
		if n%4 != 0 {
			continue
		}
		load := 50 * (n % 8 / 4)
		if err := s.fleet.SetServerFault(ctx, listed.ID, server.Fault{ReportedLoad: &load}); err != nil {
			return err
		}
	}
	return nil
}

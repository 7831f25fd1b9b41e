package demo

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/io/document"
	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
	"galenaridge/standin/server"
)

// Options configure a demo.
type Options struct {
	// Deployment is kuvuka or bluemahoe.
	Deployment string
	// Bin is the directory of the programs, and Examples that of the answers.
	Bin, Examples string
	// Dir keeps settings and logs; empty means a temporary directory.
	Dir       string
	Instances int
	Seed      uint64
	// Progress receives one line for each step.
	Progress func(line string)
}

// The times of the faults after the start of the load.
const (
	grayAt  = 3 * time.Second
	killAt  = 7 * time.Second
	stopAt  = 11 * time.Second
	loadFor = 21 * time.Second
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 15 * time.Second
	// settle lets owners claim their servers, and lets the steward count them:
	// it counts a server only after its new owner has held it for 6 s.
	settle = 7 * time.Second
)

// perSecond is a load that the servers bear with the faults.
const perSecond = 400

// Run runs the demo and returns its summary.
func Run(ctx context.Context, options Options) (Summary, error) {
	deployment, err := deploymentOf(options)
	if err != nil {
		return Summary{}, err
	}
	config, err := generate(filepath.Join(options.Examples, options.Deployment+".yaml"))
	if err != nil {
		return Summary{}, err
	}
	if options.Dir == "" {
		if options.Dir, err = os.MkdirTemp("", "galenaridge-demo-"); err != nil {
			return Summary{}, eris.Wrap(err, "make a directory for logs")
		}
		defer func() { _ = os.RemoveAll(options.Dir) }()
	}
	f, err := harness.Open(ctx, harness.Options{
		Deployment: deployment,
		Bin:        options.Bin,
		Config:     config,
		Dir:        options.Dir,
	})
	if err != nil {
		return Summary{}, eris.Wrap(err, "start the fleet")
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
		return Summary{}, eris.Wrap(err, "wait for the fleet")
	}
	options.Progress("fleet is ready")
	if err := pause.For(ctx, settle); err != nil {
		return Summary{}, err
	}
	return drive(ctx, options, deployment, f)
}

func deploymentOf(options Options) (harness.Deployment, error) {
	switch options.Deployment {
	case "kuvuka":
		return harness.Kuvuka(options.Instances), nil
	case "bluemahoe":
		return harness.BlueMahoe(options.Instances), nil
	default:
		return harness.Deployment{}, eris.Errorf("unknown deployment %q; kuvuka and bluemahoe exist", options.Deployment)
	}
}

// generate makes the first configuration from a file of answers.
func generate(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the answers")
	}
	answers, err := document.DecodeAnswers(file, data)
	if err != nil {
		return nil, err
	}
	draft, err := questionnaire.Generate(answers, 0)
	if err != nil {
		return nil, err
	}
	return document.EncodeConfig(draft.Document, draft.Notes)
}

// faults is when the faults began and whom they met.
type faults struct {
	gray       fleet.ServerID
	grayAt     time.Time
	killed     harness.Slot
	stopped    harness.Slot
	stopFailed error
}

// drive sends load while faults happen, and collects the summary.
func drive(ctx context.Context, options Options, deployment harness.Deployment, f *harness.Fleet) (Summary, error) {
	caller, err := client.New(client.Options{
		Entries:       f.Entries(),
		Domain:        deployment.Domains[0],
		DialAddresses: f.ClientVia(),
		Deadline:      2 * time.Second,
		Seed:          options.Seed,
	})
	if err != nil {
		return Summary{}, err
	}
	defer caller.Close()
	var report bench.Report
	var met faults
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(ctx context.Context) error {
		var err error
		report, err = bench.Run(ctx, bench.Options{Plan: plan(deployment, options.Seed), Caller: caller})
		return err
	})
	p.Go(func(ctx context.Context) error {
		var err error
		met, err = inject(ctx, options, deployment, f)
		return err
	})
	if err := p.Wait(); err != nil {
		return Summary{}, err
	}
	return collect(ctx, deployment, f, report, met)
}

// plan mixes reads and protected writes of both services.
func plan(deployment harness.Deployment, seed uint64) bench.Plan {
	first, second := deployment.Services[0].Name, deployment.Services[1].Name
	writeFirst, writeSecond := "/swaps", "/payouts"
	if deployment.Name == "bluemahoe" {
		writeFirst, writeSecond = "/signoffs", "/bookings"
	}
	return bench.Plan{
		Steps: []bench.Step{{For: loadFor, PerSecond: perSecond}},
		Mix: []bench.Kind{
			{Weight: 6, Service: first, Class: "read", Method: "GET", Path: "/items", AnswerBytes: 2048},
			{Weight: 2, Service: first, Class: "protected", Method: "POST", Path: writeFirst, Protected: true, Resend: 1, SendBytes: 256},
			{Weight: 1, Service: second, Class: "read", Method: "GET", Path: "/items", AnswerBytes: 512},
			{Weight: 1, Service: second, Class: "protected", Method: "POST", Path: writeSecond, Protected: true, Resend: 1, SendBytes: 256},
		},
		Deadline: 2 * time.Second,
		Seed:     seed,
	}
}

// inject brings about the faults at their times.
func inject(ctx context.Context, options Options, deployment harness.Deployment, f *harness.Fleet) (faults, error) {
	met := faults{
		gray:    harness.ServerName(deployment.Services[0].Name, 1),
		killed:  harness.SlotName(2),
		stopped: harness.SlotName(3),
	}
	if err := pause.For(ctx, grayAt); err != nil {
		return met, err
	}
	options.Progress("server " + string(met.gray) + " stalls all work and still answers probes")
	met.grayAt = time.Now()
	if err := f.SetServerFault(ctx, met.gray, server.Fault{Kind: server.FaultStall}); err != nil {
		return met, err
	}
	if err := pause.For(ctx, killAt-grayAt); err != nil {
		return met, err
	}
	options.Progress("instance " + string(met.killed) + " is killed")
	if err := f.Kill(ctx, met.killed); err != nil {
		return met, err
	}
	if err := pause.For(ctx, stopAt-killAt); err != nil {
		return met, err
	}
	options.Progress("instance " + string(met.stopped) + " is stopped as planned")
	met.stopFailed = f.Stop(ctx, met.stopped)
	return met, ctx.Err()
}

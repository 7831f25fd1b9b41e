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
	// Bin is the directory of the programs, and Examples the directory of the
	// questionnaire answers.
	Bin, Examples string
	// Dir receives settings and logs and is kept. Empty means a temporary
	// directory, which is removed at the end.
	Dir       string
	Instances int
	Seed      uint64
	// Progress receives one line of text for each step.
	Progress func(line string)
}

// Offsets of the faults from the start of the load, and the length of the load.
const (
	stallOffset  = 3 * time.Second
	killOffset   = 7 * time.Second
	stopOffset   = 11 * time.Second
	loadDuration = 21 * time.Second
	// readyTimeout bounds the time until all instances are ready.
	readyTimeout = 15 * time.Second
	// settleTime is the wait between readiness and load, in which instances
	// claim their servers. The steward of the ejection limit counts a server
	// only after its owner has held it for 6 s.
	settleTime = 7 * time.Second
)

// requestsPerSecond is a load that the remaining servers can serve during the
// faults.
const requestsPerSecond = 400

// Run runs the demo and returns its summary. It fails if the fleet does not
// start, if a fault cannot be injected or if the context ends; violated
// guarantees and a failed planned stop are in the summary instead.
func Run(ctx context.Context, options Options) (Summary, error) {
	deployment, err := newDeployment(options)
	if err != nil {
		return Summary{}, err
	}
	config, err := generateConfig(filepath.Join(options.Examples, options.Deployment+".yaml"))
	if err != nil {
		return Summary{}, err
	}
	if options.Dir == "" {
		if options.Dir, err = os.MkdirTemp("", "galenaridge-demo-"); err != nil {
			return Summary{}, eris.Wrap(err, "create a directory for logs")
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
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		return Summary{}, eris.Wrap(err, "wait for the fleet")
	}
	options.Progress("fleet is ready")
	if err := pause.For(ctx, settleTime); err != nil {
		return Summary{}, err
	}
	return runLoad(ctx, options, deployment, f)
}

func newDeployment(options Options) (harness.Deployment, error) {
	switch options.Deployment {
	case "kuvuka":
		return harness.Kuvuka(options.Instances), nil
	case "bluemahoe":
		return harness.BlueMahoe(options.Instances), nil
	default:
		return harness.Deployment{}, eris.Errorf("unknown deployment %q: expected kuvuka or bluemahoe", options.Deployment)
	}
}

// generateConfig generates the first version of the configuration, in YAML,
// from a file of questionnaire answers.
func generateConfig(file string) ([]byte, error) {
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

// injectedFaults records the server and the slots that received a fault.
type injectedFaults struct {
	stalledServer fleet.ServerID
	stalledAt     time.Time
	killedSlot    harness.Slot
	stoppedSlot   harness.Slot
	// stopError is the error of the planned stop; nil if it succeeded.
	stopError error
}

// runLoad sends the load and injects the faults at the same time, then collects
// the summary.
func runLoad(ctx context.Context, options Options, deployment harness.Deployment, f *harness.Fleet) (Summary, error) {
	caller, err := client.New(client.Options{
		Entries:       f.Entries(),
		Domain:        deployment.Domains[0],
		DialAddresses: f.ClientDialAddresses(),
		Deadline:      2 * time.Second,
		Seed:          options.Seed,
	})
	if err != nil {
		return Summary{}, err
	}
	defer caller.Close()
	var report bench.Report
	var injected injectedFaults
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(ctx context.Context) error {
		var err error
		report, err = bench.Run(ctx, bench.Options{Plan: loadPlan(deployment, options.Seed), Caller: caller})
		return err
	})
	p.Go(func(ctx context.Context) error {
		var err error
		injected, err = injectFaults(ctx, options, deployment, f)
		return err
	})
	if err := p.Wait(); err != nil {
		return Summary{}, err
	}
	return collectSummary(ctx, deployment, f, report, injected)
}

// loadPlan returns a mix of reads and protected writes to both services.
func loadPlan(deployment harness.Deployment, seed uint64) bench.Plan {
	first, second := deployment.Services[0].Name, deployment.Services[1].Name
	writeFirst, writeSecond := "/swaps", "/payouts"
	if deployment.Name == "bluemahoe" {
		writeFirst, writeSecond = "/signoffs", "/bookings"
	}
	return bench.Plan{
		Steps: []bench.Step{{For: loadDuration, PerSecond: requestsPerSecond}},
		Mix: []bench.Kind{
			{Weight: 6, Service: first, Class: "read", Method: "GET", Path: "/items", ResponseBodyBytes: 2048},
			{Weight: 2, Service: first, Class: "protected", Method: "POST", Path: writeFirst, Protected: true, MaxResends: 1, RequestBodyBytes: 256},
			{Weight: 1, Service: second, Class: "read", Method: "GET", Path: "/items", ResponseBodyBytes: 512},
			{Weight: 1, Service: second, Class: "protected", Method: "POST", Path: writeSecond, Protected: true, MaxResends: 1, RequestBodyBytes: 256},
		},
		Deadline: 2 * time.Second,
		Seed:     seed,
	}
}

// injectFaults injects each fault at its offset from the start of the load. A
// failed planned stop is recorded in the result and is not an error.
func injectFaults(ctx context.Context, options Options, deployment harness.Deployment, f *harness.Fleet) (injectedFaults, error) {
	injected := injectedFaults{
		stalledServer: harness.ServerName(deployment.Services[0].Name, 1),
		killedSlot:    harness.SlotName(2),
		stoppedSlot:   harness.SlotName(3),
	}
	if err := pause.For(ctx, stallOffset); err != nil {
		return injected, err
	}
	options.Progress("server " + string(injected.stalledServer) + " stalls all requests but still answers probes")
	injected.stalledAt = time.Now()
	if err := f.SetServerFault(ctx, injected.stalledServer, server.Fault{Kind: server.FaultStall}); err != nil {
		return injected, err
	}
	if err := pause.For(ctx, killOffset-stallOffset); err != nil {
		return injected, err
	}
	options.Progress("instance " + string(injected.killedSlot) + " is killed")
	if err := f.Kill(ctx, injected.killedSlot); err != nil {
		return injected, err
	}
	if err := pause.For(ctx, stopOffset-killOffset); err != nil {
		return injected, err
	}
	options.Progress("instance " + string(injected.stoppedSlot) + " is stopped as planned")
	injected.stopError = f.Stop(ctx, injected.stoppedSlot)
	return injected, ctx.Err()
}

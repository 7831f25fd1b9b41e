package experiment

import (
	"cmp"
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/standin/harness"
	"galenaridge/standin/pause"
)

// Options holds the directories of an experiment and the receiver of its
// progress.
type Options struct {
	// Bin is the directory of the programs, and Examples the directory of the
	// questionnaire answers.
	Bin, Examples string
	// Dir receives settings and logs and is kept. Empty means a temporary
	// directory, which is removed at the end.
	Dir string
	// Progress receives one line of text for each step.
	Progress func(line string)
}

// readyTimeout bounds the time until all instances are ready.
const readyTimeout = 40 * time.Second

// Run runs an experiment and returns its report. It fails if the fleet does not
// start or the context ends; violated guarantees and faults whose injection
// failed are in the report instead.
func Run(ctx context.Context, e Experiment, options Options) (Report, error) {
	deployment := e.deployment()
	config, err := e.config(options.Examples, 1)
	if err != nil {
		return Report{}, err
	}
	f, err := harness.Open(ctx, harness.Options{Deployment: deployment, Bin: options.Bin, Config: config, Dir: options.Dir})
	if err != nil {
		return Report{}, eris.Wrap(err, "start the fleet")
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		return Report{}, eris.Wrap(err, "wait for the fleet")
	}
	options.Progress("fleet is ready")
	if err := pause.For(ctx, cmp.Or(e.SettleTime, defaultSettleTime)); err != nil {
		return Report{}, err
	}
	return runLoad(ctx, e, options, f)
}

// runLoad sends the load and injects the faults at the same time, then collects
// the report.
func runLoad(ctx context.Context, e Experiment, options Options, f *harness.Fleet) (Report, error) {
	entries := f.Entries()
	caller, err := client.New(client.Options{
		Entries:       entries[:cmp.Or(e.EntryCount, len(entries))],
		Domain:        e.deployment().Domains[0],
		DialAddresses: f.ClientDialAddresses(),
		Deadline:      e.Load.Deadline,
		Seed:          cmp.Or(e.Seed, 1),
	})
	if err != nil {
		return Report{}, err
	}
	defer caller.Close()
	faultInjector := &injector{experiment: e, options: options, fleet: f, loadStart: time.Now(), configVersion: 1}
	options.Progress("load begins: " + e.Load.String())
	var loadReport bench.Report
	var events []Event
	p := pool.New().WithErrors()
	p.Go(func() error {
		var err error
		loadReport, err = bench.Run(ctx, bench.Options{
			Plan:     e.Load.Plan(e.Seed),
			Caller:   caller,
			Progress: func(p bench.Progress) { options.Progress(p.String()) },
		})
		return err
	})
	p.Go(func() error {
		events = faultInjector.run(ctx)
		return nil
	})
	if err := p.Wait(); err != nil {
		return Report{}, err
	}
	return collectReport(ctx, e, f, faultInjector.loadStart, loadReport, events)
}

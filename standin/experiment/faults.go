package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/pause"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

// Event is a fault that was injected, or whose injection failed.
type Event struct {
	// StartOffset is the start of the injection, measured from the start of the
	// load.
	StartOffset jsontime.Duration `json:"at"`
	// Duration is the time that the injection took; a planned stop takes until
	// the process has exited.
	Duration    jsontime.Duration `json:"took"`
	Description string            `json:"what"`
	// Failure is the error of the injection; empty if it succeeded.
	Failure string `json:"failure,omitempty"`
}

// injector injects the faults of an experiment.
type injector struct {
	experiment Experiment
	options    Options
	fleet      *harness.Fleet
	loadStart  time.Time
	// configVersion is the version of the configuration that was published
	// last.
	configVersion fleet.Version
}

// run injects all faults at their offsets and returns one event for each, in
// order of the offsets. If the context ends, it returns the events until then.
func (i *injector) run(ctx context.Context) []Event {
	faults := slices.Clone(i.experiment.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.StartOffset - b.StartOffset) })
	events := make([]Event, len(faults))
	// A planned stop takes seconds. It runs in the background, so that it does
	// not delay later faults.
	stopPool := pool.New()
	for n, f := range faults {
		if pause.For(ctx, time.Until(i.loadStart.Add(f.StartOffset))) != nil {
			events = events[:n]
			break
		}
		i.options.Progress(f.String())
		if f.Action == Publish {
			i.configVersion++
		}
		version := i.configVersion
		act := func() { events[n] = i.inject(ctx, f, version) }
		if f.Action == Stop {
			stopPool.Go(act)
		} else {
			act()
		}
	}
	stopPool.Wait()
	return events
}

// inject injects one fault. An error is recorded in the event.
func (i *injector) inject(ctx context.Context, f Fault, version fleet.Version) Event {
	start := time.Now()
	err := i.apply(ctx, f, version)
	e := Event{StartOffset: jsontime.Duration(start.Sub(i.loadStart)), Duration: jsontime.Duration(time.Since(start)), Description: f.String()}
	if err != nil {
		e.Failure = err.Error()
		i.options.Progress(f.String() + " failed: " + e.Failure)
	}
	return e
}

// apply calls the command of the deployment for the fault's action. The version
// is used by publish only.
func (i *injector) apply(ctx context.Context, f Fault, version fleet.Version) error {
	switch f.Action {
	case Kill:
		return i.fleet.Kill(ctx, f.Instance)
	case Pause:
		return i.fleet.Pause(f.Instance)
	case Resume:
		return i.fleet.Resume(f.Instance)
	case Stop:
		return i.fleet.Stop(ctx, f.Instance)
	case Restart:
		return i.fleet.Restart(ctx, f.Instance)
	case Replace:
		_, err := i.fleet.Replace(ctx, f.Instance)
		return err
	case Cut, Heal:
		return i.setCut(ctx, f)
	case ServerFault:
		return i.fleet.SetServerFault(ctx, f.Server, f.serverFault(i.experiment.Seed))
	case Drain:
		return i.fleet.DrainServer(ctx, f.Server)
	case PlatformFault:
		return i.fleet.SetPlatformFault(ctx, platform.Fault{Mode: f.PlatformMode})
	default:
		return i.publishConfig(ctx, version)
	}
}

// publishConfig publishes the configuration with the given version at the
// platform.
func (i *injector) publishConfig(ctx context.Context, version fleet.Version) error {
	text, err := i.experiment.config(i.options.Examples, version)
	if err != nil {
		return err
	}
	return i.fleet.PublishConfig(ctx, text)
}

// setCut cuts or heals the links between the two ends of a fault, and in the
// opposite direction too if the fault has both directions.
func (i *injector) setCut(ctx context.Context, f Fault) error {
	if f.Action == Heal && f.From+f.To == "" {
		return i.fleet.HealAll(ctx)
	}
	from, _ := i.experiment.linkEnd(f.From)
	to, _ := i.experiment.linkEnd(f.To)
	change := i.fleet.Cut
	if f.Action == Heal {
		change = i.fleet.Heal
	}
	if err := change(ctx, from, to); err != nil || !f.BothDirections {
		return err
	}
	return change(ctx, to, from)
}

// serverFault converts the fault to the form of the simulated servers, which
// take the share as a fraction. The seed makes the server's random choice of
// affected requests repeatable.
func (f Fault) serverFault(seed uint64) server.Fault {
	return server.Fault{
		Kind:   f.ServerFaultKind,
		Factor: float64(f.Factor),
		Share:  float64(f.SharePercent) / 100,
		Period: jsontime.Duration(f.Period),
		Seed:   seed,
	}
}

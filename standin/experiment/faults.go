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

// Event is a fault that was brought about.
type Event struct {
	// StartOffset is when the fault began, from the start of the load; Took is how long
	// the command ran, as a planned stop does.
	StartOffset jsontime.Duration `json:"at"`
	Duration    jsontime.Duration `json:"took"`
	Description string            `json:"what"`
	Failure     string            `json:"failure,omitempty"`
}

// injector brings about the faults of an experiment.
type injector struct {
	experiment    Experiment
	options       Options
	fleet         *harness.Fleet
	loadStart     time.Time
	configVersion fleet.Version
}

// run brings about all faults at their times and returns them in order. A
// fault that cannot be brought about is an event with a failure.
func (i *injector) run(ctx context.Context) []Event {
	faults := slices.Clone(i.experiment.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.StartOffset - b.StartOffset) })
	events := make([]Event, len(faults))
	// A planned stop takes seconds, in which later faults may be due.
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

// inject brings about one fault.
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

// publishConfig publishes a version of the configuration.
func (i *injector) publishConfig(ctx context.Context, version fleet.Version) error {
	text, err := i.experiment.config(i.options.Examples, version)
	if err != nil {
		return err
	}
	return i.fleet.PublishConfig(ctx, text)
}

// setCut cuts or heals between the ends of a fault.
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

// serverFault returns the fault in the form that servers take.
func (f Fault) serverFault(seed uint64) server.Fault {
	return server.Fault{
		Kind:   f.ServerFaultKind,
		Factor: float64(f.Factor),
		Share:  float64(f.SharePercent) / 100,
		Period: jsontime.Duration(f.Period),
		Seed:   seed,
	}
}

package proof

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// step is one fault, or the end of one, at a time from the start of a script.
type step struct {
	offset time.Duration
	name   string
	run    func(ctx context.Context) error
}

// script is a sequence of steps, in order of their times. A step that takes
// long delays those after it.
type script []step

// start runs the script beside its caller. The function that it returns waits
// for the end and returns the first failure.
func (s script) start(ctx context.Context, sys *system) func() error {
	var firstErr error
	var wait conc.WaitGroup
	startedAt := time.Now()
	wait.Go(func() {
		for _, step := range s {
			if !sleep(ctx, step.offset-time.Since(startedAt)) {
				firstErr = ctx.Err()
				return
			}
			sys.progress("  %s", step.name)
			if err := step.run(ctx); err != nil {
				firstErr = eris.Wrap(err, step.name)
				return
			}
		}
	})
	return func() error {
		wait.Wait()
		return firstErr
	}
}

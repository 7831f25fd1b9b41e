package proof

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// step injects or ends a fault at an offset from the start of a script.
type step struct {
	offset time.Duration
	name   string
	run    func(ctx context.Context) error
}

// script is a sequence of steps, in order of their offsets. A step that takes
// long delays the later steps.
type script []step

// start runs the script in the background. The function that it returns waits
// for the end of the script and returns the first error.
func (s script) start(ctx context.Context, system *system) func() error {
	var firstErr error
	var wait conc.WaitGroup
	startedAt := time.Now()
	wait.Go(func() {
		for _, step := range s {
			if !sleep(ctx, step.offset-time.Since(startedAt)) {
				firstErr = ctx.Err()
				return
			}
			system.progress("  %s", step.name)
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

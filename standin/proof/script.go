package proof

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// step is one fault, or the end of one, at a time from the start of a script.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// script is a sequence of steps, in order of their times. A step that takes
// long delays those after it.
type script []step

// start runs the script beside its caller. The function that it returns waits
// for the end and returns the first failure.
func (s script) start(ctx context.Context, on *stage) func() error {
	var failure error
	var wait conc.WaitGroup
	began := time.Now()
	wait.Go(func() {
		for _, step := range s {
			if !sleep(ctx, step.at-time.Since(began)) {
				failure = ctx.Err()
				return
			}
			on.progress("  %s", step.name)
			if err := step.do(ctx); err != nil {
				failure = eris.Wrap(err, step.name)
				return
			}
		}
	})
	return func() error {
		wait.Wait()
		return failure
	}
}

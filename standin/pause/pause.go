// Package pause waits in programs that can be interrupted.
package pause

import (
	"context"
	"time"
)

// For waits for a duration, or returns the error of the context if it ends
// before.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

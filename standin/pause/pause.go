// Package pause waits for a duration, or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns nil. If the context ends first, it returns
// the error of the context.
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

package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// clock gives the parts of an instance their time.
type clock struct{ clockwork.Clock }

// NewTicker implements gateway.Clock of core.
func (c clock) NewTicker(every time.Duration) (<-chan time.Time, func()) {
	ticker := c.Clock.NewTicker(every)
	return ticker.Chan(), ticker.Stop
}

// NewTimer implements dispatch.Clock.
func (c clock) NewTimer(after time.Duration) (<-chan time.Time, func()) {
	timer := c.Clock.NewTimer(after)
	return timer.Chan(), func() { timer.Stop() }
}

// Sleep implements follow.Timer.
func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	timer := c.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

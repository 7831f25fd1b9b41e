package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// clock adapts clockwork.Clock to the clock interfaces of core.
type clock struct{ clockwork.Clock }

// NewTicker implements gateway.Clock of core.
func (c clock) NewTicker(interval time.Duration) (<-chan time.Time, func()) {
	ticker := c.Clock.NewTicker(interval)
	return ticker.Chan(), ticker.Stop
}

// NewTimer implements dispatch.Clock.
func (c clock) NewTimer(delay time.Duration) (<-chan time.Time, func()) {
	timer := c.Clock.NewTimer(delay)
	return timer.Chan(), func() { timer.Stop() }
}

// Sleep implements follow.Timer.
func (c clock) Sleep(ctx context.Context, delay time.Duration) error {
	timer := c.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

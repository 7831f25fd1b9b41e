package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLag guards against a machine that is overloaded and keeps its place, and
// against one that loses it for a short delay.
func TestLag(t *testing.T) {
	tests := []struct {
		name  string
		gap   time.Duration
		ticks int
		want  bool
	}{
		{"in time", tickEvery, 100, false},
		{"timers that fire late", tickEvery + 20*time.Millisecond, 100, false},
		{"one long delay", 4 * tickEvery, 1, false},
		{"overloaded", 3 * tickEvery, 10, true},
		{"frozen", 3 * time.Second, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			tick := func(gap time.Duration) {
				clock.Advance(gap)
				l.state.tick()
			}
			tick(tickEvery)
			for range test.ticks {
				tick(test.gap)
			}
			require.Equal(t, test.want, l.state.lag.slow)
			require.Equal(t, test.want, len(r.slow) == 1 && r.slow[0])
			for range int(slowFor/tickEvery) + 1 {
				tick(tickEvery)
			}
			require.False(t, l.state.lag.slow, "it is over when ticks are in time")
		})
	}
}

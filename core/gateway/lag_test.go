package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLag guards against an overloaded machine that does not count as slow, and against
// a machine that counts as slow after one short delay.
func TestLag(t *testing.T) {
	tests := []struct {
		name  string
		gap   time.Duration
		ticks int
		want  bool
	}{
		{"in time", tickInterval, 100, false},
		{"timers that fire late", tickInterval + 20*time.Millisecond, 100, false},
		{"one long delay", 4 * tickInterval, 1, false},
		{"overloaded", 3 * tickInterval, 10, true},
		{"frozen", 3 * time.Second, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			tick := func(gap time.Duration) {
				clock.Advance(gap)
				l.state.tick()
			}
			tick(tickInterval)
			for range test.ticks {
				tick(test.gap)
			}
			require.Equal(t, test.want, l.state.lag.slow)
			require.Equal(t, test.want, len(r.slow) == 1 && r.slow[0])
			for range int(minSlowTime/tickInterval) + 1 {
				tick(tickInterval)
			}
			require.False(t, l.state.lag.slow, "the machine recovers when ticks are in time")
		})
	}
}

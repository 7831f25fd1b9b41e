package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/steptime"
)

// TestTallyAfterClockStep guards against failures that are forgotten, or counted
// for longer, since the time of day jumped.
func TestTallyAfterClockStep(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		step  time.Duration
		want  float64
	}{
		{"ahead", time.Second, time.Hour, 1},
		{"back", time.Second, -time.Hour, 1},
		{"ahead, later", 5 * time.Second, time.Hour, 0},
		{"back, later", 5 * time.Second, -time.Hour, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var counts tally
			now := time.Now()
			counts.start(now)
			counts.fail(now)
			require.InDelta(t, test.want, counts.share(steptime.Step(now.Add(test.after), test.step), 0), 1e-9)
		})
	}
}

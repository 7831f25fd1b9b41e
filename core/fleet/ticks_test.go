package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/steptime"
)

// TestTicks guards against parts of time that a step of the time of day skips or
// repeats.
func TestTicks(t *testing.T) {
	tests := []struct {
		name    string
		elapsed time.Duration
		step    time.Duration
		want    int64
	}{
		{"at once", 0, 0, 1},
		{"later", 2500 * time.Millisecond, 0, 3},
		{"ahead", 2500 * time.Millisecond, time.Hour, 3},
		{"back", 2500 * time.Millisecond, -time.Hour, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ticks fleet.PeriodCounter
			now := time.Now()
			require.EqualValues(t, 1, ticks.PeriodNumber(now, time.Second))
			require.Equal(t, test.want, ticks.PeriodNumber(steptime.Step(now.Add(test.elapsed), test.step), time.Second))
		})
	}
}

package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/steptime"
)

// TestPeriodCounter guards against periods that a step of the wall clock skips or repeats.
func TestPeriodCounter(t *testing.T) {
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
			var counter fleet.PeriodCounter
			now := time.Now()
			require.EqualValues(t, 1, counter.PeriodNumber(now, time.Second))
			require.Equal(t, test.want, counter.PeriodNumber(steptime.Step(now.Add(test.elapsed), test.step), time.Second))
		})
	}
}

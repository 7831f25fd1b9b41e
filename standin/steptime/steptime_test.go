package steptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStep guards against a step that does not move the wall clock reading or that
// changes the monotonic clock reading.
func TestStep(t *testing.T) {
	tests := []time.Duration{0, time.Second, time.Hour, -time.Hour}
	for _, step := range tests {
		t.Run(step.String(), func(t *testing.T) {
			now := time.Now()
			stepped := Step(now, step)
			require.Zero(t, stepped.Sub(now), "the monotonic clock")
			require.Equal(t, now.Round(0).Add(step), stepped.Round(0), "the wall clock")
		})
	}
	require.Panics(t, func() { Step(time.Unix(1000, 0), time.Second) })
}

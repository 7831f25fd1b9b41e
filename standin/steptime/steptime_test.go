package steptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStep guards against steps that move nothing, or that move the steady clock.
func TestStep(t *testing.T) {
	tests := []time.Duration{0, time.Second, time.Hour, -time.Hour}
	for _, by := range tests {
		t.Run(by.String(), func(t *testing.T) {
			now := time.Now()
			stepped := Step(now, by)
			require.Zero(t, stepped.Sub(now), "the steady clock")
			require.Equal(t, now.Round(0).Add(by), stepped.Round(0), "the time of day")
		})
	}
	require.Panics(t, func() { Step(time.Unix(1000, 0), time.Second) })
}

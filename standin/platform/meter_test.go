package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMeterRate guards against a call rate that omits pending watches, which count
// towards the platform's rate limit.
func TestMeterRate(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		reads   []time.Duration
		watches [][2]time.Duration
		elapsed time.Duration
		rate    float64
		peak    int
	}{
		{"nothing", nil, nil, 10 * time.Second, 0, 0},
		{"first second is not whole", []time.Duration{0}, nil, 500 * time.Millisecond, 0, 0},
		{"one read a second", []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}, nil, 5 * time.Second, 1, 1},
		{"watch within a second", nil, [][2]time.Duration{{0, time.Second / 2}}, time.Second, 1, 1},
		{"watch over five seconds", nil, [][2]time.Duration{{time.Second / 2, 9 * time.Second / 2}}, 5 * time.Second, 1, 1},
		{"old calls leave the rate", []time.Duration{0}, nil, 7 * time.Second, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			meter := newCallMeter(start)
			for _, offset := range test.reads {
				meter.startCall(start.Add(offset), Config, false)
			}
			for _, period := range test.watches {
				meter.startCall(start.Add(period[0]), List, true)
				meter.endWatch(start.Add(period[1]))
			}
			got := meter.snapshot(start.Add(test.elapsed))
			assert.InDelta(t, test.rate, got.CallsPerSecond, 0.001)
			assert.Equal(t, test.peak, got.PeakCallsPerSecond)
		})
	}
}

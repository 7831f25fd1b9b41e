package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a rate that leaves out pending watches, which the platform's
// limit counts.
func TestMeterRate(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		reads   []time.Duration
		watches [][2]time.Duration
		at      time.Duration
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
			m := newMeter(start)
			for _, at := range test.reads {
				m.begin(start.Add(at), Config, false)
			}
			for _, span := range test.watches {
				m.begin(start.Add(span[0]), List, true)
				m.end(start.Add(span[1]))
			}
			got := m.read(start.Add(test.at))
			assert.InDelta(t, test.rate, got.CallsPerSecond, 0.001)
			assert.Equal(t, test.peak, got.PeakCallsPerSecond)
		})
	}
}

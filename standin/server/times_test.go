package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a cold start or a jitter that does not take effect.
func TestServiceTimes(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name   string
		times  *serviceTimes
		number int
		least  time.Duration
		most   time.Duration
		same   bool
	}{
		{"fixed", &serviceTimes{mean: 20 * ms}, 1, 20 * ms, 20 * ms, true},
		{"jitter", &serviceTimes{mean: 20 * ms, jitter: 5 * ms}, 1, 15 * ms, 25 * ms, false},
		{"never negative", &serviceTimes{mean: ms, jitter: 50 * ms}, 1, 0, 51 * ms, false},
		{"cold", &serviceTimes{mean: 20 * ms, cold: 3, factor: 5}, 3, 100 * ms, 100 * ms, true},
		{"warm", &serviceTimes{mean: 20 * ms, cold: 3, factor: 5}, 4, 20 * ms, 20 * ms, true},
		{"cold without a factor", &serviceTimes{mean: 20 * ms, cold: 3}, 1, 20 * ms, 20 * ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.times.rng = rand.New(rand.NewPCG(1, 1))
			seen := map[time.Duration]bool{}
			for range 200 {
				took := test.times.draw(test.number)
				assert.GreaterOrEqual(t, took, test.least)
				assert.LessOrEqual(t, took, test.most)
				seen[took] = true
			}
			assert.Equal(t, test.same, len(seen) == 1)
		})
	}
}

// Guards against a share that meets all requests or none, and a flapping
// server that does not change.
func TestFaultDraw(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		fault Fault
		after time.Duration
		least int
		most  int
	}{
		{"all", Fault{Kind: FaultFail}, 0, 1000, 1000},
		{"half", Fault{Kind: FaultFail, Share: 0.5, Seed: 1}, 0, 400, 600},
		{"tenth", Fault{Kind: FaultFail, Share: 0.1, Seed: 1}, 0, 60, 140},
		{"flap stalls", Fault{Kind: FaultFlap, Period: 2_000_000_000}, time.Second, 1000, 1000},
		{"flap works", Fault{Kind: FaultFlap, Period: 2_000_000_000}, 3 * time.Second, 0, 0},
		{"flap stalls again", Fault{Kind: FaultFlap, Period: 2_000_000_000}, 5 * time.Second, 1000, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFaults()
			f.set(start, test.fault)
			met := 0
			for range 1000 {
				if f.draw(start.Add(test.after)).Kind != FaultNone {
					met++
				}
			}
			assert.GreaterOrEqual(t, met, test.least)
			assert.LessOrEqual(t, met, test.most)
		})
	}
}

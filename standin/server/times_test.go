package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestServiceTimes guards against a cold start or a jitter that has no effect.
func TestServiceTimes(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		times    *serviceTimes
		number   int
		atLeast  time.Duration
		atMost   time.Duration
		constant bool
	}{
		{"fixed", &serviceTimes{mean: 20 * ms}, 1, 20 * ms, 20 * ms, true},
		{"jitter", &serviceTimes{mean: 20 * ms, jitter: 5 * ms}, 1, 15 * ms, 25 * ms, false},
		{"never negative", &serviceTimes{mean: ms, jitter: 50 * ms}, 1, 0, 51 * ms, false},
		{"cold", &serviceTimes{mean: 20 * ms, coldRequests: 3, coldFactor: 5}, 3, 100 * ms, 100 * ms, true},
		{"warm", &serviceTimes{mean: 20 * ms, coldRequests: 3, coldFactor: 5}, 4, 20 * ms, 20 * ms, true},
		{"cold without a factor", &serviceTimes{mean: 20 * ms, coldRequests: 3}, 1, 20 * ms, 20 * ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.times.rng = rand.New(rand.NewPCG(1, 1))
			seen := map[time.Duration]bool{}
			for range 200 {
				duration := test.times.serviceTime(test.number)
				assert.GreaterOrEqual(t, duration, test.atLeast)
				assert.LessOrEqual(t, duration, test.atMost)
				seen[duration] = true
			}
			assert.Equal(t, test.constant, len(seen) == 1)
		})
	}
}

// TestFaultDraw guards against a share that affects all requests or none, and
// against a flapping server that stays in one phase.
func TestFaultDraw(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		fault   Fault
		elapsed time.Duration
		atLeast int
		atMost  int
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
			injector := newFaultInjector()
			injector.setFault(start, test.fault)
			affected := 0
			for range 1000 {
				if injector.nextFault(start.Add(test.elapsed)).Kind != FaultNone {
					affected++
				}
			}
			assert.GreaterOrEqual(t, affected, test.atLeast)
			assert.LessOrEqual(t, affected, test.atMost)
		})
	}
}

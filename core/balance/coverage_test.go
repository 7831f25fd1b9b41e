package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/registry"
	"galenaridge/standin/steptime"
)

// TestAttemptCounterAfterClockStep guards against a step of the wall clock that drops
// counted failures early or keeps them for too long.
func TestAttemptCounterAfterClockStep(t *testing.T) {
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
			var counter attemptCounter
			now := time.Now()
			counter.recordStart(now)
			counter.recordFailure(now)
			require.InDelta(t, test.want, counter.failureShare(steptime.Step(now.Add(test.after), test.step), 0), 1e-9)
		})
	}
}

// TestChooseForCoverage guards against coverage requests when no server needs one, and
// against servers that get none when they do.
func TestChooseForCoverage(t *testing.T) {
	const servers = 20
	tests := []struct {
		name string
		// recentlyUsed is the number of servers with a request just now; waiting is the time
		// since the last request to the others.
		recentlyUsed     int
		sinceLastRequest time.Duration
		options          PickOptions
		// reportedByOther is set if another instance reports outstanding requests on the others.
		reportedByOther bool
		serviceFails    bool
		want            bool
	}{
		{"most servers are due", 2, 1700 * time.Millisecond, protectedOptions(), false, true, true},
		{"no requests fail, and servers in use are below the floor", 13, 1700 * time.Millisecond, protectedOptions(), false, false, true},
		{"no requests fail, and servers in use are at the floor", 14, 1700 * time.Millisecond, protectedOptions(), false, false, false},
		{"no requests fail, and other instances use the servers", 2, 1700 * time.Millisecond, protectedOptions(), true, false, false},
		{"one server is due", 19, 1700 * time.Millisecond, protectedOptions(), false, true, true},
		{"no server is due", 20, 1700 * time.Millisecond, protectedOptions(), false, true, false},
		{"another instance has requests on them", 2, 1700 * time.Millisecond, protectedOptions(), true, true, false},
		{"due for an idempotent request", 2, 1300 * time.Millisecond, idempotentOptions(), false, true, true},
		{"not yet due for a non-idempotent request", 2, 1300 * time.Millisecond, protectedOptions(), false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all []registry.Server
			for i := range servers {
				all = append(all, listed(fmt.Sprintf("s%02d", i), "a", 4))
			}
			p := newTestPool(all...)
			now := start.Add(test.sinceLastRequest)
			var reports []ServerReport
			for i, s := range p.live {
				s.lastAttemptAt = start
				s.ownEstimate = failureEstimate{probability: 0.05, updatedAt: start}
				if i < test.recentlyUsed {
					s.lastAttemptAt = now
					continue
				}
				reports = append(reports, ServerReport{Key: s.key, Outstanding: 1, FailureProbability: 0.05})
			}
			if test.reportedByOther {
				p.ApplyReports(now, "other", reports)
			}
			p.recentAttempts.recordStart(now)
			if test.serviceFails {
				p.recentAttempts.recordFailure(now)
			}
			chosen, _ := p.chooseForCoverage(now, test.options)
			require.Equal(t, test.want, chosen != nil)
		})
	}
}

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/registry"
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

// TestCover guards against a floor that is kept at the cost of requests where it is
// not in danger, and against one that is not kept.
func TestCover(t *testing.T) {
	const servers = 20
	tests := []struct {
		name string
		// used servers had a request a short time ago, waiting is the time since
		// the last one on the others.
		used    int
		waiting time.Duration
		ask     PickOptions
		// told says that another instance sends requests to the others.
		told   bool
		failed bool
		want   bool
	}{
		{"most are missing", 2, 1700 * time.Millisecond, protectedAsk(), false, true, true},
		{"the service does not fail", 2, 1700 * time.Millisecond, protectedAsk(), false, false, false},
		{"one is missing", 19, 1700 * time.Millisecond, protectedAsk(), false, true, true},
		{"none is missing", 20, 1700 * time.Millisecond, protectedAsk(), false, true, false},
		{"another instance uses them", 2, 1700 * time.Millisecond, protectedAsk(), true, true, false},
		{"an idempotent request comes first", 2, 1300 * time.Millisecond, idempotentAsk(), false, true, true},
		{"a protected one later", 2, 1300 * time.Millisecond, protectedAsk(), false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all []registry.Server
			for i := range servers {
				all = append(all, listed(fmt.Sprintf("s%02d", i), "a", 4))
			}
			p := newTestPool(all...)
			now := start.Add(test.waiting)
			var told []ServerReport
			for i, s := range p.list {
				s.triedAt = start
				s.belief = belief{failing: 0.05, at: start}
				if i < test.used {
					s.triedAt = now
					continue
				}
				told = append(told, ServerReport{Key: s.key, Outstanding: 1, FailureProbability: 0.05})
			}
			if test.told {
				p.ApplyReports(now, "other", told)
			}
			p.recent.start(now)
			if test.failed {
				p.recent.fail(now)
			}
			require.Equal(t, test.want, p.cover(now, test.ask) != nil)
		})
	}
}

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/registry"
)

// TestPatience guards against urgent requests that are refused since others fill
// the queues beyond what the urgent ones can wait for.
func TestPatience(t *testing.T) {
	type call struct {
		priority int
		slack    time.Duration
	}
	tests := []struct {
		name   string
		before []call
		after  time.Duration
		call   call
		want   float64
	}{
		{"alone", nil, 0, call{1, time.Second}, 1},
		{"behind a more urgent one", []call{{0, time.Second}}, 0, call{1, time.Second}, 1 - yield},
		{"behind a more urgent one that waits less", []call{{0, 400 * time.Millisecond}}, 0, call{1, time.Second}, 0.4 * (1 - yield)},
		{"behind two", []call{{0, time.Second}, {1, time.Second}}, 0, call{2, time.Second}, 1 - 2*yield},
		{"the urgent one is not held back", []call{{2, 100 * time.Millisecond}}, 0, call{0, time.Second}, 1},
		{"what was urgent is over", []call{{0, 400 * time.Millisecond}}, 4 * time.Second, call{1, time.Second}, 1},
		{"a priority beyond the bounds", nil, 0, call{99, time.Second}, 1},
		{"no slack", nil, 0, call{0, -time.Second}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p patience
			for _, c := range test.before {
				p.bound(start, c.priority, c.slack)
			}
			got := p.bound(start.Add(test.after), test.call.priority, test.call.slack)
			require.InDelta(t, test.want, got.Seconds(), 1e-6)
		})
	}
}

// TestOverload guards against queues in which all answers become late: a service
// that is asked for more than it can do must answer in time what it can.
func TestOverload(t *testing.T) {
	const (
		servers, slots = 10, 4
		work           = 250 * time.Millisecond
		capacity       = servers * slots * 4
	)
	tests := []struct {
		name string
		load float64
	}{
		{"a little", 1.15},
		{"by a third", 1.3},
		{"twice", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all []registry.Server
			free := make(map[registry.Incarnation][]time.Time)
			for i := range servers {
				all = append(all, listed(fmt.Sprintf("s%02d", i), "a", slots))
				free[all[i].Incarnation] = make([]time.Time, slots)
			}
			p := newTestPool(all...)
			type running struct {
				lease *Attempt
				end   time.Time
			}
			var open []running
			inTime := 0
			gap := time.Duration(float64(time.Second) / (test.load * capacity))
			for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(gap) {
				kept := open[:0]
				for _, r := range open {
					if r.end.After(now) {
						kept = append(kept, r)
						continue
					}
					r.lease.Finish(r.end, Succeeded, Load{})
				}
				open = kept
				lease, _ := p.Pick(now, protectedAsk())
				if lease == nil {
					continue
				}
				// The server works on requests in order of arrival.
				queue := free[lease.Server.Incarnation]
				first := 0
				for i := range queue {
					if queue[i].Before(queue[first]) {
						first = i
					}
				}
				end := now.Add(work)
				if queue[first].After(now) {
					end = queue[first].Add(work)
				}
				queue[first] = end
				open = append(open, running{lease, end})
				if now.Sub(start) >= 4*time.Second && end.Sub(now) <= time.Second {
					inTime++
				}
			}
			require.GreaterOrEqual(t, float64(inTime), 0.9*8*capacity, "answers in time")
		})
	}
}

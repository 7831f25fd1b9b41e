package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// end is one attempt of a test.
type end struct {
	response exchange.Response
	evidence Evidence
}

var (
	answer   = end{exchange.Response{Outcome: fleet.Done, Status: 200}, Evidence{Written: true, Complete: true}}
	fault    = end{exchange.Response{Outcome: fleet.Done, Status: 500}, Evidence{Written: true, Complete: true}}
	lost     = end{exchange.Refuse(exchange.UpstreamLost, "reset"), Evidence{Written: true}}
	timeout  = end{exchange.Refuse(exchange.UpstreamTimeout, "stalled"), Evidence{Written: true, TimedOut: true}}
	shed     = end{exchange.Refuse(exchange.Overloaded, "shed"), Evidence{Written: true, Declined: true}}
	unsent   = end{exchange.Refuse(exchange.NoCapacity, "unreachable"), Evidence{}}
	rejected = end{exchange.Refuse(exchange.NoCapacity, "refused"), Evidence{Refused: true}}
)

// TestTrail guards against a refusal that says "not run" after an attempt that may
// have run, against answers of servers that are lost, and against attempts that are
// not counted.
func TestTrail(t *testing.T) {
	tests := []struct {
		name   string
		ends   []end
		status int
		made   int
		ran    bool
	}{
		{"none", nil, 0, 0, false},
		{"an answer", []end{answer}, 200, 1, true},
		{"shed, then an answer", []end{shed, answer}, 200, 2, true},
		{"shed twice", []end{shed, shed}, shed.response.Status, 2, false},
		{"never sent", []end{unsent, unsent}, unsent.response.Status, 0, false},
		{"refused connections add load", []end{rejected, rejected}, rejected.response.Status, 2, false},
		{"lost, then shed", []end{lost, shed}, lost.response.Status, 2, true},
		{"lost, then unsent", []end{lost, unsent}, lost.response.Status, 1, true},
		{"an error, then lost", []end{fault, lost}, 500, 2, true},
		{"lost, then an error", []end{lost, fault}, 500, 2, true},
		{"lost, then timed out", []end{lost, timeout}, timeout.response.Status, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var trail History
			for _, e := range test.ends {
				trail = trail.Append(NewHistory(e.response, e.evidence))
			}
			require.Equal(t, test.status, trail.Response.Status)
			require.Equal(t, test.made, trail.Attempts)
			require.Equal(t, test.ran, trail.MayHaveRun)
			require.False(t, trail.MayHaveRun && trail.Response.Outcome == fleet.NotRun)
		})
	}
}

// TestAgain guards against a second run of a request that must not run twice, and
// against repeats that cannot help.
func TestAgain(t *testing.T) {
	tests := []struct {
		name       string
		end        end
		idempotent bool
		limit      int
		left       time.Duration
		want       bool
	}{
		{"shed", shed, false, 2, time.Second, true},
		{"unsent", unsent, false, 2, time.Second, true},
		{"lost", lost, false, 2, time.Second, false},
		{"lost, idempotent", lost, true, 2, time.Second, true},
		{"an error", fault, false, 2, time.Second, false},
		{"an error, idempotent", fault, true, 2, time.Second, true},
		{"an answer", answer, true, 2, time.Second, false},
		{"the limit", shed, false, 1, time.Second, false},
		{"too late", shed, false, 2, time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			trail := NewHistory(test.end.response, test.end.evidence)
			rules := RetryRules{Idempotent: test.idempotent, MaxAttempts: test.limit, TimeLeft: test.left, ExpectedDuration: 100 * time.Millisecond}
			require.Equal(t, test.want, trail.ShouldRetry(rules))
		})
	}
}

package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// attemptEnd is the result of one simulated attempt.
type attemptEnd struct {
	response exchange.Response
	evidence Evidence
}

var (
	complete    = attemptEnd{exchange.Response{Outcome: fleet.Done, Status: 200}, Evidence{Written: true, Complete: true}}
	serverError = attemptEnd{exchange.Response{Outcome: fleet.Done, Status: 500}, Evidence{Written: true, Complete: true}}
	lost        = attemptEnd{exchange.Refuse(exchange.UpstreamLost, "reset"), Evidence{Written: true}}
	timeout     = attemptEnd{exchange.Refuse(exchange.UpstreamTimeout, "stalled"), Evidence{Written: true, TimedOut: true}}
	shed        = attemptEnd{exchange.Refuse(exchange.Overloaded, "shed"), Evidence{Written: true, Declined: true}}
	unsent      = attemptEnd{exchange.Refuse(exchange.NoCapacity, "unreachable"), Evidence{}}
	rejected    = attemptEnd{exchange.Refuse(exchange.NoCapacity, "refused"), Evidence{Refused: true}}
)

// TestHistory guards against a "not run" refusal after an attempt that may have run,
// against lost responses of servers, and against attempts that are not counted.
func TestHistory(t *testing.T) {
	tests := []struct {
		name       string
		ends       []attemptEnd
		status     int
		attempts   int
		mayHaveRun bool
	}{
		{"none", nil, 0, 0, false},
		{"a complete response", []attemptEnd{complete}, 200, 1, true},
		{"shed, then a complete response", []attemptEnd{shed, complete}, 200, 2, true},
		{"shed twice", []attemptEnd{shed, shed}, shed.response.Status, 2, false},
		{"not sent", []attemptEnd{unsent, unsent}, unsent.response.Status, 0, false},
		{"refused connections count as attempts", []attemptEnd{rejected, rejected}, rejected.response.Status, 2, false},
		{"lost, then shed", []attemptEnd{lost, shed}, lost.response.Status, 2, true},
		{"lost, then unsent", []attemptEnd{lost, unsent}, lost.response.Status, 1, true},
		{"an error, then lost", []attemptEnd{serverError, lost}, 500, 2, true},
		{"lost, then an error", []attemptEnd{lost, serverError}, 500, 2, true},
		{"lost, then timed out", []attemptEnd{lost, timeout}, timeout.response.Status, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var history History
			for _, e := range test.ends {
				history = history.Append(NewHistory(e.response, e.evidence))
			}
			require.Equal(t, test.status, history.Response.Status)
			require.Equal(t, test.attempts, history.Attempts)
			require.Equal(t, test.mayHaveRun, history.MayHaveRun)
			require.False(t, history.MayHaveRun && history.Response.Outcome == fleet.NotRun)
		})
	}
}

// TestShouldRetry guards against a second run of a non-idempotent request and against
// retries that cannot succeed.
func TestShouldRetry(t *testing.T) {
	tests := []struct {
		name       string
		end        attemptEnd
		idempotent bool
		limit      int
		left       time.Duration
		want       bool
	}{
		{"shed", shed, false, 2, time.Second, true},
		{"unsent", unsent, false, 2, time.Second, true},
		{"lost", lost, false, 2, time.Second, false},
		{"lost, idempotent", lost, true, 2, time.Second, true},
		{"an error", serverError, false, 2, time.Second, false},
		{"an error, idempotent", serverError, true, 2, time.Second, true},
		{"a complete response", complete, true, 2, time.Second, false},
		{"the limit", shed, false, 1, time.Second, false},
		{"too late", shed, false, 2, time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := NewHistory(test.end.response, test.end.evidence)
			rules := RetryRules{Idempotent: test.idempotent, MaxAttempts: test.limit, TimeLeft: test.left, ExpectedDuration: 100 * time.Millisecond}
			require.Equal(t, test.want, history.ShouldRetry(rules))
		})
	}
}

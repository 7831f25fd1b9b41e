package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/standin/logline"
)

// Guards against a detection time taken from the ejection of another server,
// and against relapses after a trial that count as detections or false
// ejections.
func TestRecordEjection(t *testing.T) {
	stalledAt := time.Unix(100, 0)
	ejected := func(server fleet.ServerID, before string, after time.Duration) logline.Line {
		return logline.Line{Message: logline.ConditionChanged, Server: server, Before: before, After: "ejected", Time: stalledAt.Add(after)}
	}
	tests := []struct {
		name           string
		lines          []logline.Line
		detectionTime  time.Duration
		falseEjections int
	}{
		{"none", nil, 0, 0},
		{"stalled server", []logline.Line{ejected("gray", "suspect", time.Second)}, time.Second, 0},
		{"first of two", []logline.Line{ejected("gray", "suspect", 3*time.Second), ejected("gray", "suspect", time.Second)}, time.Second, 0},
		{"after a trial", []logline.Line{ejected("gray", "trial", time.Second)}, 0, 0},
		{"healthy server", []logline.Line{ejected("other", "suspect", time.Second)}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Summary
			for _, line := range tt.lines {
				s.recordEjection(line, injectedFaults{stalledServer: "gray", stalledAt: stalledAt})
			}
			require.Equal(t, tt.detectionTime, s.DetectionTime)
			require.Equal(t, tt.falseEjections, s.FalseEjections)
		})
	}
}

// Guards against a demo that passes although a guarantee was violated.
func TestViolations(t *testing.T) {
	tests := []struct {
		name       string
		summary    Summary
		violations int
	}{
		{"nothing", Summary{PeakLoads: []PeakLoad{{Requests: 4, Slots: 4, Conns: 4, MaxConns: 330}}}, 0},
		{"run twice", Summary{Verdict: bench.Verdict{RunTwice: []fleet.Key{"a"}}}, 1},
		{"false not-run", Summary{Verdict: bench.Verdict{FalseNotRun: []fleet.Key{"a"}}}, 1},
		{"false done", Summary{Verdict: bench.Verdict{FalseDone: []fleet.Key{"a"}}}, 1},
		{"wrong answer", Summary{Report: bench.Report{Total: bench.RequestCounts{Wrong: 1}}}, 1},
		{"slots", Summary{PeakLoads: []PeakLoad{{Requests: 5, Slots: 4, MaxConns: 330}}}, 1},
		{"connections", Summary{PeakLoads: []PeakLoad{{Slots: 4, Conns: 331, MaxConns: 330}}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Len(t, tt.summary.Violations(), tt.violations) })
	}
}

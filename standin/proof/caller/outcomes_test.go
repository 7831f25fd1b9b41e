package caller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/fleet"
)

// TestOutcomeSummary guards against a key that ran twice, a false outcome or
// differing responses that the summary overlooks.
func TestOutcomeSummary(t *testing.T) {
	done := sendResult{outcome: fleet.Done, status: 200, body: "a"}
	other := sendResult{outcome: fleet.Done, status: 200, body: "b"}
	notRun := sendResult{outcome: fleet.NotRun, code: "overloaded"}
	unknown := sendResult{outcome: fleet.Unknown}
	tests := []struct {
		name    string
		results []sendResult
		runs    int
		want    OutcomeSummary
	}{
		{"one answer", []sendResult{done, done}, 1, OutcomeSummary{Done: 1}},
		{"two runs", []sendResult{done, done}, 2, OutcomeSummary{Done: 1, RunTwice: []fleet.Key{"k"}}},
		{"not run is true", []sendResult{notRun, unknown}, 0, OutcomeSummary{}},
		{"not run is false", []sendResult{notRun, done}, 1, OutcomeSummary{Done: 1, FalseNotRun: []fleet.Key{"k"}}},
		{"done is false", []sendResult{done}, 0, OutcomeSummary{Done: 1, FalseDone: []fleet.Key{"k"}}},
		{"two answers", []sendResult{done, other}, 1, OutcomeSummary{Done: 1, DifferingResponses: []fleet.Key{"k"}}},
		{"unknown", []sendResult{unknown}, 1, OutcomeSummary{Unknown: 1}},
		{"nothing was sent", nil, 0, OutcomeSummary{Unknown: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := NewOutcomeLog()
			log.add("k", test.results)
			got := log.Verify(map[fleet.Key]int{"k": test.runs})
			test.want.Keys, test.want.Sends, test.want.Codes = 1, len(test.results), got.Codes
			assert.Equal(t, test.want, got)
		})
	}
}

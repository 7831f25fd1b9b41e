package caller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/fleet"
)

// TestAccount guards against a ledger that overlooks a broken promise.
func TestAccount(t *testing.T) {
	done := told{outcome: fleet.Done, status: 200, body: "a"}
	other := told{outcome: fleet.Done, status: 200, body: "b"}
	notRun := told{outcome: fleet.NotRun, code: "overloaded"}
	unknown := told{outcome: fleet.Unknown}
	tests := []struct {
		name   string
		copies []told
		runs   int
		want   OutcomeSummary
	}{
		{"one answer", []told{done, done}, 1, OutcomeSummary{Done: 1}},
		{"two runs", []told{done, done}, 2, OutcomeSummary{Done: 1, RunTwice: []fleet.Key{"k"}}},
		{"not run is true", []told{notRun, unknown}, 0, OutcomeSummary{}},
		{"not run is false", []told{notRun, done}, 1, OutcomeSummary{Done: 1, FalseNotRun: []fleet.Key{"k"}}},
		{"done is false", []told{done}, 0, OutcomeSummary{Done: 1, FalseDone: []fleet.Key{"k"}}},
		{"two answers", []told{done, other}, 1, OutcomeSummary{Done: 1, DifferingResponses: []fleet.Key{"k"}}},
		{"unknown", []told{unknown}, 1, OutcomeSummary{Unknown: 1}},
		{"nothing was sent", nil, 0, OutcomeSummary{Unknown: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewOutcomeLog()
			l.add("k", test.copies)
			got := l.Verify(map[fleet.Key]int{"k": test.runs})
			test.want.Keys, test.want.Sends, test.want.Codes = 1, len(test.copies), got.Codes
			assert.Equal(t, test.want, got)
		})
	}
}

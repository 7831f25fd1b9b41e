package bench

import (
	"fmt"
	"net/http"

	"galenaridge/core/fleet"
)

// Verdict is the comparison of the results that callers of protected requests
// received with the requests that servers ran.
type Verdict struct {
	// KeyCount is the number of keys in the report.
	KeyCount int `json:"keys"`
	// RunTwice lists keys that servers started more than once.
	RunTwice []fleet.Key `json:"run_twice,omitempty"`
	// FalseNotRun lists keys with the outcome not-run that a server started.
	FalseNotRun []fleet.Key `json:"false_not_run,omitempty"`
	// FalseDone lists keys with the outcome done and a status below 400 that no
	// server started.
	FalseDone []fleet.Key `json:"false_done,omitempty"`
	// UnknownRan and UnknownNotRun count the keys of unknown outcome that servers
	// did and did not start.
	UnknownRan    int `json:"unknown_ran"`
	UnknownNotRun int `json:"unknown_not_run"`
}

// Verify compares the report with startCounts, the number of times that servers
// started the request of each key. Keys that are not in the report are ignored.
func (r Report) Verify(startCounts map[fleet.Key]int) Verdict {
	v := Verdict{KeyCount: len(r.ProtectedResults)}
	for _, key := range sortedKeys(r.ProtectedResults) {
		result := r.ProtectedResults[key]
		starts := startCounts[key]
		if starts > 1 {
			v.RunTwice = append(v.RunTwice, key)
		}
		switch result.Outcome {
		case fleet.NotRun:
			if starts > 0 {
				v.FalseNotRun = append(v.FalseNotRun, key)
			}
		case fleet.Done:
			if starts == 0 && result.Status < http.StatusBadRequest {
				v.FalseDone = append(v.FalseDone, key)
			}
		case fleet.Unknown:
			if starts > 0 {
				v.UnknownRan++
			} else {
				v.UnknownNotRun++
			}
		}
	}
	return v
}

// OK reports whether no key ran twice and no result was false.
func (v Verdict) OK() bool {
	return len(v.RunTwice)+len(v.FalseNotRun)+len(v.FalseDone) == 0
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%d protected keys: %d run twice, %d false not-run, %d false done, %d unknown that ran, %d unknown that did not",
		v.KeyCount, len(v.RunTwice), len(v.FalseNotRun), len(v.FalseDone), v.UnknownRan, v.UnknownNotRun)
}

package bench

import (
	"fmt"
	"net/http"

	"galenaridge/core/fleet"
)

// Verdict compares what callers of protected requests were told with what the
// servers ran.
type Verdict struct {
	KeyCount int `json:"keys"`
	// RunTwice lists keys that servers started more than once.
	RunTwice []fleet.Key `json:"run_twice,omitempty"`
	// FalseNotRun lists keys that were told not-run and started.
	FalseNotRun []fleet.Key `json:"false_not_run,omitempty"`
	// FalseDone lists keys that were told done with a status below 400 and
	// did not start.
	FalseDone []fleet.Key `json:"false_done,omitempty"`
	// UnknownRan and UnknownNotRun split the keys of unknown outcome.
	UnknownRan    int `json:"unknown_ran"`
	UnknownNotRun int `json:"unknown_not_run"`
}

// Verify compares the report with how often servers started each key. Keys
// that this run did not send are ignored.
func (r Report) Verify(runs map[fleet.Key]int) Verdict {
	v := Verdict{KeyCount: len(r.ProtectedResults)}
	for _, key := range sortedKeys(r.ProtectedResults) {
		told := r.ProtectedResults[key]
		n := runs[key]
		if n > 1 {
			v.RunTwice = append(v.RunTwice, key)
		}
		switch told.Outcome {
		case fleet.NotRun:
			if n > 0 {
				v.FalseNotRun = append(v.FalseNotRun, key)
			}
		case fleet.Done:
			if n == 0 && told.Status < http.StatusBadRequest {
				v.FalseDone = append(v.FalseDone, key)
			}
		case fleet.Unknown:
			if n > 0 {
				v.UnknownRan++
			} else {
				v.UnknownNotRun++
			}
		}
	}
	return v
}

// OK reports whether no promise was broken.
func (v Verdict) OK() bool {
	return len(v.RunTwice)+len(v.FalseNotRun)+len(v.FalseDone) == 0
}

// String returns one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%d protected keys: %d run twice, %d false not-run, %d false done, %d unknown that ran, %d unknown that did not",
		v.KeyCount, len(v.RunTwice), len(v.FalseNotRun), len(v.FalseDone), v.UnknownRan, v.UnknownNotRun)
}

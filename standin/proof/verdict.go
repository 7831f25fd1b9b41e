package proof

import (
	"fmt"
	"strings"
)

// Check is the comparison of a figure with its target.
type Check struct {
	Figure string `json:"figure"`
	Target string `json:"target"`
	Pass   bool   `json:"pass"`
	// Timing is set if the figure depends on how busy the machine is.
	Timing bool `json:"timing,omitempty"`
}

// Verdict is the result of one proof.
type Verdict struct {
	Proof      string  `json:"proof"`
	Deployment string  `json:"deployment"`
	Instances  int     `json:"instances"`
	Seed       uint64  `json:"seed"`
	Checks     []Check `json:"checks"`
	// Notes are figures without a target.
	Notes []string `json:"notes,omitempty"`
	// Failure is the reason why the proof could not be carried out, or empty.
	Failure string `json:"failure,omitempty"`
}

// Pass reports whether the proof was carried out and met all targets.
func (v *Verdict) Pass() bool { return v.meetsTargets(true) }

// PassIgnoringTiming reports whether the proof was carried out and met all
// targets that do not depend on timing.
func (v *Verdict) PassIgnoringTiming() bool { return v.meetsTargets(false) }

func (v *Verdict) meetsTargets(includeTiming bool) bool {
	for _, c := range v.Checks {
		if !c.Pass && (includeTiming || !c.Timing) {
			return false
		}
	}
	return v.Failure == "" && len(v.Checks) > 0
}

// String returns one line with the name, pass or fail, the figures and the
// targets, or with the failure.
func (v *Verdict) String() string {
	if v.Failure != "" {
		return fmt.Sprintf("%s fail %q", v.Proof, v.Failure)
	}
	figures := make([]string, 0, len(v.Checks))
	targets := make([]string, 0, len(v.Checks))
	for _, c := range v.Checks {
		figure := c.Figure
		if !c.Pass {
			figure += " (missed)"
		}
		figures = append(figures, figure)
		targets = append(targets, c.Target)
	}
	result := "fail"
	if v.Pass() {
		result = "pass"
	}
	return fmt.Sprintf("%s %s %q %q", v.Proof, result, strings.Join(figures, "; "), strings.Join(targets, "; "))
}

// addCheck adds a comparison.
func (v *Verdict) addCheck(pass bool, target, format string, values ...any) {
	v.Checks = append(v.Checks, Check{Figure: fmt.Sprintf(format, values...), Target: target, Pass: pass})
}

// addTimingCheck adds a comparison of a figure that depends on how busy the
// machine is.
func (v *Verdict) addTimingCheck(pass bool, target, format string, values ...any) {
	v.addCheck(pass, target, format, values...)
	v.Checks[len(v.Checks)-1].Timing = true
}

// addNote adds a figure without a target.
func (v *Verdict) addNote(format string, values ...any) {
	v.Notes = append(v.Notes, fmt.Sprintf(format, values...))
}

package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"galenaridge/standin/steptime"
)

// TestWindow guards against repeats that exceed the quota in any span of time.
func TestWindow(t *testing.T) {
	quota := Quota{Ratio: 0.2, Allowance: 5, Span: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(quota)
		now := time.Unix(1_000_000, 0)
		var firstAttempts, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			} else if w.TryRepeat(now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			made, allowed := 0, quota.Allowance
			for _, at := range repeats {
				if !at.After(end) && end.Sub(at) < quota.Span {
					made++
				}
			}
			for _, at := range firstAttempts {
				if !at.After(end) && end.Sub(at) < quota.Span {
					allowed += quota.Ratio
				}
			}
			if float64(made) > allowed+1e-9 {
				t.Fatalf("%d repeats with %.1f allowed", made, allowed)
			}
		}
	})
}

// TestWindowSlides guards against a quota that stays used up after the window has
// passed.
func TestWindowSlides(t *testing.T) {
	w := NewWindow(Quota{Allowance: 2, Span: 10 * time.Second})
	now := time.Unix(1_000_000, 0)
	require.True(t, w.TryRepeat(now))
	require.True(t, w.TryRepeat(now))
	require.False(t, w.TryRepeat(now.Add(9*time.Second)))
	require.True(t, w.TryRepeat(now.Add(11*time.Second)))
	w.SetQuota(Quota{Allowance: 1})
	require.False(t, w.TryRepeat(now.Add(12*time.Second)))
	require.True(t, w.TryRepeat(now.Add(time.Hour)))
}

// TestWindowAfterClockStep guards against a step of the wall clock that grants the
// quota twice or keeps it used up.
func TestWindowAfterClockStep(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		step  time.Duration
		want  bool
	}{
		{"ahead, within the span", 5 * time.Second, time.Hour, false},
		{"back, within the span", 5 * time.Second, -time.Hour, false},
		{"ahead, after the span", 11 * time.Second, time.Hour, true},
		{"back, after the span", 11 * time.Second, -time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := NewWindow(Quota{Allowance: 1, Span: 10 * time.Second})
			now := time.Now()
			require.True(t, w.TryRepeat(now))
			require.Equal(t, test.want, w.TryRepeat(steptime.Step(now.Add(test.after), test.step)))
		})
	}
}

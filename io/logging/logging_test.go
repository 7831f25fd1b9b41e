package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestFailureLog guards against a log that fills up during a lasting failure, and
// against a missing line for a new failure or for the recovery.
func TestFailureLog(t *testing.T) {
	tests := []struct {
		name      string
		errors    []string // An empty string is a success.
		wantLines []string
	}{
		{"same failure", []string{"a", "a", "a"}, []string{"read failed"}},
		{"different failure", []string{"a", "b", "b"}, []string{"read failed", "read failed"}},
		{"alternating failures", []string{"a", "b", "a", "b"}, []string{"read failed", "read failed"}},
		{"recovery", []string{"a", "a", "", ""}, []string{"read failed", "read works again"}},
		{"failure after recovery", []string{"a", "", "a"}, []string{"read failed", "read works again", "read failed"}},
		{"no failure", []string{"", ""}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			clock := clockwork.NewFakeClock()
			failureLog := NewFailureLog(New(&out, logrus.InfoLevel), clock, "read")
			for _, message := range tt.errors {
				clock.Advance(time.Second)
				if message == "" {
					failureLog.RecordSuccess()
				} else {
					failureLog.RecordFailure(eris.New(message))
				}
			}
			lines := strings.FieldsFunc(out.String(), func(r rune) bool { return r == '\n' })
			require.Len(t, lines, len(tt.wantLines))
			for i, line := range tt.wantLines {
				require.Contains(t, lines[i], line)
			}
			since, failing := failureLog.FailingSince()
			require.Equal(t, tt.errors[len(tt.errors)-1] != "", failing)
			if failing {
				require.False(t, since.After(clock.Now()))
			}
		})
	}
}

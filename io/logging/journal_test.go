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

// TestOnce guards against a log that fills up while something stays broken.
func TestOnce(t *testing.T) {
	tests := []struct {
		name   string
		errors []string // An empty one is a success.
		lines  []string
	}{
		{"same failure", []string{"a", "a", "a"}, []string{"read failed"}},
		{"other failure", []string{"a", "b", "b"}, []string{"read failed", "read failed"}},
		{"in turns", []string{"a", "b", "a", "b"}, []string{"read failed", "read failed"}},
		{"end", []string{"a", "a", "", ""}, []string{"read failed", "read works again"}},
		{"again", []string{"a", "", "a"}, []string{"read failed", "read works again", "read failed"}},
		{"no failure", []string{"", ""}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			clock := clockwork.NewFakeClock()
			once := NewFailureLog(New(&out, logrus.InfoLevel), clock, "read")
			for _, message := range tt.errors {
				clock.Advance(time.Second)
				if message == "" {
					once.RecordSuccess()
				} else {
					once.RecordFailure(eris.New(message))
				}
			}
			lines := strings.FieldsFunc(out.String(), func(r rune) bool { return r == '\n' })
			require.Len(t, lines, len(tt.lines))
			for i, line := range tt.lines {
				require.Contains(t, lines[i], line)
			}
			since, failing := once.FailingSince()
			require.Equal(t, tt.errors[len(tt.errors)-1] != "", failing)
			if failing {
				require.False(t, since.After(clock.Now()))
			}
		})
	}
}

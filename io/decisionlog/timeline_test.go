package decisionlog

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleLog = `   0.1 edge-a-1 {"time":"2026-06-10T06:00:00Z","instance":"a-1","event":"started"}
   9.0 edge-a-2 {"time":"2026-06-10T06:00:09Z","instance":"a-2","event":"server-suspected","server":"s1","cause":"stalled","failing":0.9}
   9.5 edge-a-2 {"time":"2026-06-10T06:00:09.5Z","instance":"a-2","event":"server-suspected","server":"s2","cause":"failed"}
no JSON
{"level":"info","msg":"of another kind"}
{"time":"2026-06-10T06:00:12Z","instance":"a-1","event":"request","id":"r1","took_ms":2000,"attempts":[{"server":"s1","at_ms":0,"took_ms":2000,"result":"stalled"}]}
{"time":"2026-06-10T06:00:11Z","instance":"a-1","event":"config-in-force","version":4}
{"time":"2026-06-10T06:00:11Z","instance":"a-2","event":"config-in-force","version":4}
{"time":"2026-06-10T06:00:11.5Z","instance":"a-1","event":"request","id":"r2"}
`

// TestTimeline guards against timelines that lack the cause of a failure or contain
// unrelated lines.
func TestTimeline(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(sampleLog))
	require.NoError(t, err)
	require.Len(t, lines, 7)
	tests := []struct {
		name  string
		query Query
		want  []Event
	}{
		{"related lines only", Query{RequestID: "r1", Lookback: 3 * time.Second}, []Event{ServerSuspected, ConfigAdopted, RequestFinished}},
		{"no lookback", Query{RequestID: "r1"}, []Event{ConfigAdopted, RequestFinished}},
		{"with another server", Query{RequestID: "r1", Lookback: 3 * time.Second, ExtraServer: "s2"}, []Event{ServerSuspected, ServerSuspected, ConfigAdopted, RequestFinished}},
		{"unknown request", Query{RequestID: "r9"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var events []Event
			for _, line := range Timeline(lines, test.query) {
				events = append(events, line.Event)
			}
			require.Equal(t, test.want, events)
		})
	}
}

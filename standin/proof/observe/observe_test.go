package observe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/fleet"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
)

// TestConfigTracker guards against a revert, or an instance that has not
// adopted a version, that the tracker overlooks in the samples.
func TestConfigTracker(t *testing.T) {
	type versions map[harness.Slot]fleet.Version
	tests := []struct {
		name    string
		samples []versions
		reverts int
		adopted fleet.Version
	}{
		{"adopted everywhere", []versions{{"i1": 1, "i2": 1}, {"i1": 2, "i2": 2}}, 0, 2},
		{"one is behind", []versions{{"i1": 2, "i2": 1}}, 0, 1},
		{"one does not respond", []versions{{"i1": 2}}, 0, 0},
		{"one reverts", []versions{{"i1": 2, "i2": 2}, {"i1": 1, "i2": 2}}, 1, 2},
		{"all revert", []versions{{"i1": 2, "i2": 2}, {"i1": 1, "i2": 1}}, 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewConfigTracker(2)
			for n, sample := range test.samples {
				states := map[harness.Slot]operator.InstanceState{}
				for slot, version := range sample {
					states[slot] = operator.InstanceState{
						Instance: operator.Instance{ID: fleet.InstanceID(slot)},
						Config:   operator.Config{Version: version},
					}
				}
				tracker.AddSample(time.Unix(int64(n), 0), states)
			}
			assert.Len(t, tracker.reverts, test.reverts)
			_, adopted := tracker.AdoptedEverywhereAt(test.adopted)
			assert.Equal(t, test.adopted > 0, adopted)
			_, newer := tracker.AdoptedEverywhereAt(test.adopted + 1)
			assert.False(t, newer)
		})
	}
}

// TestParseEvent guards against log lines that the proofs measure detection
// times by and that are no longer parsed, for example after a change of a log
// message.
func TestParseEvent(t *testing.T) {
	tests := []struct {
		name string
		text string
		out  bool
		ok   bool
	}{
		{"ejected", `{"time":"2026-01-01T00:00:01.5Z","msg":"server condition changed","server":"s-1","before":"suspect","after":"ejected","reason":"stalled"}`, true, true},
		{"suspect", `{"time":"2026-01-01T00:00:01.5Z","msg":"server condition changed","server":"s-1","before":"healthy","after":"suspect"}`, false, true},
		{"released", `{"time":"2026-01-01T00:00:01.5Z","msg":"ownership changed","acquired":null,"stopped":["server/s-1"],"lost":null}`, true, true},
		{"acquired", `{"time":"2026-01-01T00:00:01.5Z","msg":"ownership changed","acquired":["server/s-1"],"stopped":null,"lost":null}`, false, true},
		{"other", `{"time":"2026-01-01T00:00:01.5Z","msg":"member joined"}`, false, false},
		{"not a log line", "panic: x", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			event, ok := parseEvent("i1", []byte(test.text))
			assert.Equal(t, test.ok, ok)
			assert.Equal(t, test.out, event.TakesOutOfUse("s-1"))
			if ok {
				assert.Equal(t, 1500*time.Millisecond, event.At.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
			}
		})
	}
}

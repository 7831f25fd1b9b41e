package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
)

// TestVersions guards against a revert or a late instance that the samples
// show and the proof does not see.
func TestVersions(t *testing.T) {
	type seen map[harness.Slot]fleet.Version
	tests := []struct {
		name    string
		samples []seen
		reverts int
		full    fleet.Version
	}{
		{"in force everywhere", []seen{{"i1": 1, "i2": 1}, {"i1": 2, "i2": 2}}, 0, 2},
		{"one is behind", []seen{{"i1": 2, "i2": 1}}, 0, 1},
		{"one does not answer", []seen{{"i1": 2}}, 0, 0},
		{"one goes back", []seen{{"i1": 2, "i2": 2}, {"i1": 1, "i2": 2}}, 1, 2},
		{"all go back", []seen{{"i1": 2, "i2": 2}, {"i1": 1, "i2": 1}}, 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newVersions(2)
			for n, sample := range test.samples {
				states := map[harness.Slot]operator.InstanceState{}
				for slot, version := range sample {
					states[slot] = operator.InstanceState{
						Instance: operator.Instance{ID: fleet.InstanceID(slot)},
						Config:   operator.Config{Version: version},
					}
				}
				w.take(time.Unix(int64(n), 0), states)
			}
			assert.Len(t, w.reverts, test.reverts)
			_, full := w.fullAt(test.full)
			assert.Equal(t, test.full > 0, full)
			_, more := w.fullAt(test.full + 1)
			assert.False(t, more)
		})
	}
}

// TestTimeline guards against ejections that the union of all instances
// misses or keeps for too long.
func TestTimeline(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	eject := func(n int, slot harness.Slot, server fleet.ServerID) change {
		return change{at: at(n), slot: slot, server: server, after: "ejected"}
	}
	tests := []struct {
		name    string
		changes []change
		last    int
	}{
		{"two owners", []change{eject(1, "i1", "s-1"), eject(2, "i2", "s-2")}, 2},
		{"another service", []change{eject(1, "i1", "s-1"), eject(2, "i2", "t-2")}, 1},
		{"trial counts", []change{eject(1, "i1", "s-1"), {at: at(2), slot: "i1", server: "s-1", after: "trial"}}, 1},
		{"reinstated", []change{eject(1, "i1", "s-1"), {at: at(2), slot: "i1", server: "s-1", after: "healthy"}}, 0},
		{"given up", []change{eject(1, "i1", "s-1"), {at: at(2), slot: "i1", gone: []fleet.ServerID{"s-1"}}, eject(3, "i2", "s-2")}, 1},
		{"restarted", []change{eject(1, "i1", "s-1"), {at: at(2), slot: "i1", restarted: true}, eject(3, "i2", "s-2")}, 1},
		{"lost", []change{eject(1, "i1", "s-9")}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &outOfUse{service: "s", lost: map[fleet.ServerID]time.Time{"s-9": at(0)}}
			line := timeline(test.changes, out)
			require.NotEmpty(t, line)
			assert.Len(t, line[len(line)-1].ejected, test.last)
		})
	}
}

// TestBreaks guards against a floor check that is off by one server, or that
// blames ejections for servers that were lost a moment ago.
func TestBreaks(t *testing.T) {
	now := time.Unix(1000, 0)
	long, recent := now.Add(-time.Minute), now.Add(-time.Second)
	tests := []struct {
		name    string
		lost    []time.Time
		ejected int
		want    bool
	}{
		{"at the floor", []time.Time{long, long}, 3, false},
		{"below the floor", []time.Time{long, long}, 4, true},
		{"lost a moment ago", []time.Time{long, recent}, 4, false},
		{"below without ejections", []time.Time{long, long, long, long, long, long}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &outOfUse{total: 10, floor: 5, lost: map[fleet.ServerID]time.Time{}}
			for n, since := range test.lost {
				out.lost[harness.ServerName("s", n+1)] = since
			}
			ejected := map[fleet.ServerID]bool{}
			for n := range test.ejected {
				ejected[harness.ServerName("s", n+5)] = true
			}
			assert.Equal(t, test.want, out.breaks(now, ejected))
		})
	}
}

// TestParse guards against log lines that the detection times are read from
// and that are not understood.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		out  bool
		ok   bool
	}{
		{"ejected", `{"time":"2026-01-01T00:00:01.5Z","msg":"server condition changed","server":"s-1","before":"suspect","after":"ejected","reason":"stalled"}`, true, true},
		{"suspect", `{"time":"2026-01-01T00:00:01.5Z","msg":"server condition changed","server":"s-1","before":"healthy","after":"suspect"}`, false, true},
		{"given up", `{"time":"2026-01-01T00:00:01.5Z","msg":"ownership changed","acquired":null,"stopped":["server/s-1"],"lost":null}`, true, true},
		{"acquired", `{"time":"2026-01-01T00:00:01.5Z","msg":"ownership changed","acquired":["server/s-1"],"stopped":null,"lost":null}`, false, true},
		{"other", `{"time":"2026-01-01T00:00:01.5Z","msg":"member joined"}`, false, false},
		{"no log line", "panic: x", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, ok := parse("i1", []byte(test.text))
			assert.Equal(t, test.ok, ok)
			assert.Equal(t, test.out, c.out("s-1"))
			if ok {
				assert.Equal(t, 1500*time.Millisecond, c.at.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
			}
		})
	}
}

// TestQuantile guards against a 99th percentile that drops the worst of a
// few times.
func TestQuantile(t *testing.T) {
	times := []time.Duration{5, 1, 4, 2, 3}
	tests := []struct {
		share float64
		want  time.Duration
	}{{0, 1}, {0.5, 3}, {0.8, 4}, {0.99, 5}, {1, 5}}
	for _, test := range tests {
		assert.Equal(t, test.want, quantile(times, test.share), test.share)
	}
	assert.Zero(t, quantile(nil, 0.5))
}

// TestVerdict guards against a proof that passes without a check or by a
// failure, and against timing that decides a test.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name        string
		verdict     Verdict
		pass, holds bool
	}{
		{"no check", Verdict{}, false, false},
		{"met", Verdict{Checks: []Check{{Pass: true}}}, true, true},
		{"missed", Verdict{Checks: []Check{{Pass: true}, {}}}, false, false},
		{"late", Verdict{Checks: []Check{{Pass: true}, {Timing: true}}}, false, true},
		{"not carried out", Verdict{Checks: []Check{{Pass: true}}, Failure: "x"}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.pass, test.verdict.Pass())
			assert.Equal(t, test.holds, test.verdict.Holds())
		})
	}
}

package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/observe"
)

// TestEjectionTimeline guards against ejections that the timeline of all
// instances omits, or keeps after a reinstatement or a change of the owner.
func TestEjectionTimeline(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	eject := func(n int, slot harness.Slot, server fleet.ServerID) observe.LogEvent {
		return observe.LogEvent{At: at(n), Slot: slot, Server: server, HealthAfter: "ejected"}
	}
	tests := []struct {
		name        string
		events      []observe.LogEvent
		wantEjected int
	}{
		{"two owners", []observe.LogEvent{eject(1, "i1", "s-1"), eject(2, "i2", "s-2")}, 2},
		{"another service", []observe.LogEvent{eject(1, "i1", "s-1"), eject(2, "i2", "t-2")}, 1},
		{"a trial counts as ejected", []observe.LogEvent{eject(1, "i1", "s-1"), {At: at(2), Slot: "i1", Server: "s-1", HealthAfter: "trial"}}, 1},
		{"reinstated", []observe.LogEvent{eject(1, "i1", "s-1"), {At: at(2), Slot: "i1", Server: "s-1", HealthAfter: "healthy"}}, 0},
		{"released", []observe.LogEvent{eject(1, "i1", "s-1"), {At: at(2), Slot: "i1", Released: []fleet.ServerID{"s-1"}}, eject(3, "i2", "s-2")}, 1},
		{"restarted", []observe.LogEvent{eject(1, "i1", "s-1"), {At: at(2), Slot: "i1", Restarted: true}, eject(3, "i2", "s-2")}, 1},
		{"lost", []observe.LogEvent{eject(1, "i1", "s-9")}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := &floorChecker{service: "s", lostAt: map[fleet.ServerID]time.Time{"s-9": at(0)}}
			samples := ejectionTimeline(test.events, checker)
			require.NotEmpty(t, samples)
			assert.Len(t, samples[len(samples)-1].ejected, test.wantEjected)
		})
	}
}

// TestBelowFloor guards against a floor check that is wrong by one server, or
// that reports ejections as violations right after other servers were lost.
func TestBelowFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	longAgo, recent := now.Add(-time.Minute), now.Add(-time.Second)
	tests := []struct {
		name    string
		lost    []time.Time
		ejected int
		want    bool
	}{
		{"at the floor", []time.Time{longAgo, longAgo}, 3, false},
		{"below the floor", []time.Time{longAgo, longAgo}, 4, true},
		{"recently lost", []time.Time{longAgo, recent}, 4, false},
		{"below without ejections", []time.Time{longAgo, longAgo, longAgo, longAgo, longAgo, longAgo}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := &floorChecker{serverCount: 10, floor: 5, lostAt: map[fleet.ServerID]time.Time{}}
			for n, lostAt := range test.lost {
				checker.lostAt[harness.ServerName("s", n+1)] = lostAt
			}
			ejected := map[fleet.ServerID]bool{}
			for n := range test.ejected {
				ejected[harness.ServerName("s", n+5)] = true
			}
			assert.Equal(t, test.want, checker.belowFloor(now, ejected))
		})
	}
}

// TestQuantile guards against a 99th percentile of a few times that excludes
// the longest one.
func TestQuantile(t *testing.T) {
	times := []time.Duration{5, 1, 4, 2, 3}
	tests := []struct {
		fraction float64
		want     time.Duration
	}{{0, 1}, {0.5, 3}, {0.8, 4}, {0.99, 5}, {1, 5}}
	for _, test := range tests {
		assert.Equal(t, test.want, quantile(times, test.fraction), test.fraction)
	}
	assert.Zero(t, quantile(nil, 0.5))
}

// TestVerdict guards against a proof that passes without checks or after a
// failure, and against missed timing targets that fail a test.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name                     string
		verdict                  Verdict
		pass, passIgnoringTiming bool
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
			assert.Equal(t, test.passIgnoringTiming, test.verdict.PassIgnoringTiming())
		})
	}
}

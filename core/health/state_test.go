package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// fixture drives a detector with one server under test, while another server,
// which is only counted, always accepts requests.
type fixture struct {
	t        *testing.T
	now      time.Time
	detector *Detector
	counters *Counters
	effects  Effects
	serving  fleet.Servers
}

func newFixture(t *testing.T) *fixture {
	now := time.Unix(1000, 0)
	f := &fixture{t: t, now: now, counters: NewCounters(now), serving: 2}
	f.detector = NewDetector(now, Options{Service: "s", Detect: fleet.Fast, MaxDeadline: 2 * time.Second})
	return f
}

// advance moves the time forward in ticks of 50 ms.
func (f *fixture) advance(length time.Duration) {
	for range length / (50 * time.Millisecond) {
		f.now = f.now.Add(50 * time.Millisecond)
		f.observe()
	}
}

// observe runs one tick and stores its effects.
func (f *fixture) observe() {
	readings := []Reading{{Server: "a", Snapshot: f.counters.Snapshot(f.now)}}
	f.addEffects(f.detector.Observe(f.now, readings, f.serving))
}

// addEffects appends effects to the effects of earlier commands.
func (f *fixture) addEffects(e Effects) {
	f.effects.EjectionRequests = append(f.effects.EjectionRequests, e.EjectionRequests...)
	f.effects.PermitReleases = append(f.effects.PermitReleases, e.PermitReleases...)
	f.effects.Probes = append(f.effects.Probes, e.Probes...)
	f.effects.OwnershipReleases = append(f.effects.OwnershipReleases, e.OwnershipReleases...)
	f.effects.TrialStarts = append(f.effects.TrialStarts, e.TrialStarts...)
}

// runAttempts runs attempts one after the other and then one tick. Durations
// below a tick count as zero.
func (f *fixture) runAttempts(count int, result Result, duration time.Duration) {
	for range count {
		f.counters.Start(0, f.now)
		if duration >= 50*time.Millisecond {
			f.advance(duration)
		}
		f.counters.Finish(0, f.now, result)
	}
	f.advance(50 * time.Millisecond)
}

// eject makes a healthy server fail until it is ejected.
func (f *fixture) eject() {
	f.runAttempts(10, Failed, 0)
	f.requireCondition(Suspect)
	f.addEffects(f.detector.PermitGranted(f.now, "a"))
	f.requireCondition(Ejected)
}

// requireCondition fails the test if the server has another condition.
func (f *fixture) requireCondition(want Condition) {
	f.t.Helper()
	status, _ := f.detector.View().Status("a")
	require.Equal(f.t, want, status.Condition, status.Reason)
}

// status returns the status of the server under test.
func (f *fixture) status() Status {
	status, _ := f.detector.View().Status("a")
	return status
}

// TestConditions guards against wrong transitions between the conditions of a
// server, and against missing permit requests and releases.
func TestConditions(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
	}{
		{"a server without a permit stays in use", func(f *fixture) {
			f.runAttempts(10, Failed, 0)
			f.addEffects(f.detector.PermitDenied(f.now, "a"))
			f.requireCondition(Suspect)
			require.Len(f.t, f.effects.EjectionRequests, 1)
			require.Len(f.t, f.detector.View().EjectionRequests(), 1)
		}},
		{"successes and time reinstate a suspect server", func(f *fixture) {
			f.runAttempts(10, Failed, 0)
			f.advance(3 * time.Second)
			f.runAttempts(5, Succeeded, 0)
			f.advance(time.Second)
			f.requireCondition(Healthy)
			require.Equal(f.t, []fleet.ServerID{"a"}, f.effects.PermitReleases)
		}},
		{"an expired permit ends the ejection", func(f *fixture) {
			f.eject()
			f.addEffects(f.detector.PermitExpired(f.now, "a"))
			f.requireCondition(Suspect)
			require.Len(f.t, f.effects.EjectionRequests, 2)
			f.addEffects(f.detector.PermitGranted(f.now, "a"))
			require.Equal(f.t, 1, f.status().Relapses)
		}},
		{"a permit that is not needed is released", func(f *fixture) {
			f.observe()
			require.Equal(f.t, []fleet.ServerID{"a"}, f.detector.PermitGranted(f.now, "a").PermitReleases)
			require.Equal(f.t, []fleet.ServerID{"x"}, f.detector.PermitGranted(f.now, "x").PermitReleases)
		}},
		{"successes in a trial reinstate", func(f *fixture) {
			f.eject()
			f.advance(2 * time.Second)
			f.requireCondition(Trial)
			require.Equal(f.t, []fleet.ServerID{"a"}, f.effects.TrialStarts)
			f.runAttempts(3, Succeeded, 0)
			f.requireCondition(Healthy)
			require.Equal(f.t, []fleet.ServerID{"a"}, f.effects.PermitReleases)
		}},
		{"a failure in a trial doubles the ejection", func(f *fixture) {
			f.eject()
			f.advance(2 * time.Second)
			f.runAttempts(1, Failed, 0)
			f.requireCondition(Ejected)
			f.advance(3900 * time.Millisecond)
			f.requireCondition(Ejected)
			f.advance(100 * time.Millisecond)
			f.requireCondition(Trial)
		}},
		{"a stall in a trial ejects the server again", func(f *fixture) {
			f.eject()
			f.advance(2 * time.Second)
			f.counters.Start(0, f.now)
			f.advance(600 * time.Millisecond)
			f.requireCondition(Ejected)
		}},
		{"relapses decay", func(f *fixture) {
			f.eject()
			f.advance(2 * time.Second)
			f.runAttempts(3, Succeeded, 0)
			require.Equal(f.t, 1, f.status().Relapses)
			f.advance(relapseDecayTime)
			require.Zero(f.t, f.status().Relapses)
		}},
		{"a trial without requests ends", func(f *fixture) {
			f.eject()
			f.advance(2*time.Second + idleTrialTimeout)
			require.Equal(f.t, Untested, f.status().Reason)
			require.Empty(f.t, f.detector.View().EjectionRequests())
		}},
		{"refused connections need no permit", func(f *fixture) {
			f.runAttempts(2, Refused, 0)
			f.requireCondition(Dead)
			require.Empty(f.t, f.effects.EjectionRequests)
			require.Empty(f.t, f.detector.View().Usable())
			f.advance(time.Second)
			require.Len(f.t, f.effects.Probes, 3)
			f.addEffects(f.detector.RecordProbe(f.now, "a", Self, true))
			f.requireCondition(Healthy)
		}},
		{"a broken path releases the server", func(f *fixture) {
			f.counters.Start(0, f.now)
			f.advance(700 * time.Millisecond)
			require.Equal(f.t, []Probe{{Server: "a", WithPeer: true}}, f.effects.Probes)
			f.addEffects(f.detector.RecordProbe(f.now, "a", Peer, true))
			require.Empty(f.t, f.effects.OwnershipReleases)
			f.addEffects(f.detector.RecordProbe(f.now, "a", Self, false))
			require.Equal(f.t, []fleet.ServerID{"a"}, f.effects.OwnershipReleases)
		}},
		{"a probe does not reinstate a failing server", func(f *fixture) {
			f.eject()
			f.addEffects(f.detector.RecordProbe(f.now, "a", Self, true))
			f.requireCondition(Ejected)
		}},
		{"a draining server releases its permit", func(f *fixture) {
			f.eject()
			f.addEffects(f.detector.MarkDraining(f.now, "a"))
			f.requireCondition(Draining)
			require.Equal(f.t, []fleet.ServerID{"a"}, f.effects.PermitReleases)
			f.addEffects(f.detector.ClearDraining(f.now, "a"))
			f.requireCondition(Healthy)
		}},
		{"several timeouts before the stall threshold are a stall", func(f *fixture) {
			f.detector.Configure(Options{Service: "s", Detect: fleet.Careful, MaxDeadline: 2 * time.Second})
			f.runAttempts(3, TimedOut, time.Second)
			require.Equal(f.t, Stalled, f.status().Reason)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.observe()
			test.run(f)
		})
	}
}

// TestNoEvidence guards against ejections for failures that are not caused by
// the server.
func TestNoEvidence(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
	}{
		{"canceled by callers", func(f *fixture) { f.runAttempts(50, Canceled, 0) }},
		{"deadlines that no server can meet", func(f *fixture) { f.runAttempts(50, TimedOut, 50*time.Millisecond) }},
		{"the last server", func(f *fixture) {
			f.serving = 1
			f.runAttempts(50, Failed, 0)
		}},
		{"a pause of this process", func(f *fixture) {
			f.counters.Start(0, f.now)
			f.now = f.now.Add(2 * time.Second)
			f.observe()
			f.counters.Finish(0, f.now, TimedOut)
			f.runAttempts(9, Failed, 0)
			f.advance(400 * time.Millisecond)
		}},
		{"a cold start", func(f *fixture) { f.runAttempts(20, Succeeded, 150*time.Millisecond) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.observe()
			f.detector.SetBaseline(f.now, 30*time.Millisecond)
			test.run(f)
			f.requireCondition(Healthy)
			require.Empty(t, f.effects.EjectionRequests)
		})
	}
}

// TestQuantile guards against quantile estimates that are off by more than 25%.
func TestQuantile(t *testing.T) {
	tests := []time.Duration{
		300 * time.Microsecond, time.Millisecond, 7 * time.Millisecond, 35 * time.Millisecond,
		99 * time.Millisecond, 480 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second,
	}
	for _, latency := range tests {
		var h histogram
		h[bucketOf(latency)] += 100
		require.InEpsilon(t, latency, h.quantile(0.5), 0.25, "%v", latency)
	}
}

// BenchmarkObserve reports the cost of a tick with 14 servers.
func BenchmarkObserve(b *testing.B) {
	now := time.Unix(1000, 0)
	detector := NewDetector(now, Options{MaxDeadline: time.Second})
	counters := NewCounters(now)
	readings := make([]Reading, 14)
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		counters.Start(0, now.Add(-20*time.Millisecond))
		counters.Finish(0, now, Succeeded)
		for i := range readings {
			readings[i] = Reading{Server: fleet.ServerID(rune('a' + i)), Snapshot: counters.Snapshot(now)}
		}
		detector.Observe(now, readings, 14)
	}
}

package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// rig drives a state with one server under test and one that always works.
type rig struct {
	t        *testing.T
	now      time.Time
	state    *Detector
	counters *Counters
	effects  Effects
	taking   fleet.Servers
}

func newRig(t *testing.T) *rig {
	now := time.Unix(1000, 0)
	r := &rig{t: t, now: now, counters: NewCounters(now), taking: 2}
	r.state = NewDetector(now, Options{Service: "s", Detect: fleet.Fast, MaxDeadline: 2 * time.Second})
	return r
}

// tick lets time pass in steps of 50 ms and keeps the effects.
func (r *rig) tick(length time.Duration) {
	for range length / (50 * time.Millisecond) {
		r.now = r.now.Add(50 * time.Millisecond)
		r.observe()
	}
}

// observe runs one tick and adds its effects.
func (r *rig) observe() {
	readings := []Reading{{Server: "a", Snapshot: r.counters.Snapshot(r.now)}}
	r.add(r.state.Observe(r.now, readings, r.taking))
}

// add keeps effects.
func (r *rig) add(e Effects) {
	r.effects.EjectionRequests = append(r.effects.EjectionRequests, e.EjectionRequests...)
	r.effects.PermitReleases = append(r.effects.PermitReleases, e.PermitReleases...)
	r.effects.Probes = append(r.effects.Probes, e.Probes...)
	r.effects.OwnershipReleases = append(r.effects.OwnershipReleases, e.OwnershipReleases...)
	r.effects.TrialStarts = append(r.effects.TrialStarts, e.TrialStarts...)
}

// attempts runs a number of attempts one after the other.
func (r *rig) attempts(count int, result Result, took time.Duration) {
	for range count {
		r.counters.Start(0, r.now)
		if took >= 50*time.Millisecond {
			r.tick(took)
		}
		r.counters.Finish(0, r.now, result)
	}
	r.tick(50 * time.Millisecond)
}

// eject takes the server from health to ejection.
func (r *rig) eject() {
	r.attempts(10, Failed, 0)
	r.require(Suspect)
	r.add(r.state.PermitGranted(r.now, "a"))
	r.require(Ejected)
}

// require fails the test if the server is in another condition.
func (r *rig) require(want Condition) {
	r.t.Helper()
	status, _ := r.state.View().Status("a")
	require.Equal(r.t, want, status.Condition, status.Reason)
}

// status returns the status of the server.
func (r *rig) status() Status {
	status, _ := r.state.View().Status("a")
	return status
}

// TestConditions guards the way of a server through its conditions.
func TestConditions(t *testing.T) {
	tests := []struct {
		name string
		run  func(r *rig)
	}{
		{"a denied server stays in use", func(r *rig) {
			r.attempts(10, Failed, 0)
			r.add(r.state.PermitDenied(r.now, "a"))
			r.require(Suspect)
			require.Len(r.t, r.effects.EjectionRequests, 1)
			require.Len(r.t, r.state.View().EjectionRequests(), 1)
		}},
		{"a suspect server that works is cleared", func(r *rig) {
			r.attempts(10, Failed, 0)
			r.tick(3 * time.Second)
			r.attempts(5, Succeeded, 0)
			r.tick(time.Second)
			r.require(Healthy)
			require.Equal(r.t, []fleet.ServerID{"a"}, r.effects.PermitReleases)
		}},
		{"an expired permit ends the ejection", func(r *rig) {
			r.eject()
			r.add(r.state.PermitExpired(r.now, "a"))
			r.require(Suspect)
			require.Len(r.t, r.effects.EjectionRequests, 2)
			r.add(r.state.PermitGranted(r.now, "a"))
			require.Equal(r.t, 1, r.status().Relapses)
		}},
		{"a permit that is no longer needed is given back", func(r *rig) {
			r.observe()
			require.Equal(r.t, []fleet.ServerID{"a"}, r.state.PermitGranted(r.now, "a").PermitReleases)
			require.Equal(r.t, []fleet.ServerID{"x"}, r.state.PermitGranted(r.now, "x").PermitReleases)
		}},
		{"successes in a trial reinstate", func(r *rig) {
			r.eject()
			r.tick(2 * time.Second)
			r.require(Trial)
			require.Equal(r.t, []fleet.ServerID{"a"}, r.effects.TrialStarts)
			r.attempts(3, Succeeded, 0)
			r.require(Healthy)
			require.Equal(r.t, []fleet.ServerID{"a"}, r.effects.PermitReleases)
		}},
		{"a failure in a trial doubles the ejection", func(r *rig) {
			r.eject()
			r.tick(2 * time.Second)
			r.attempts(1, Failed, 0)
			r.require(Ejected)
			r.tick(3900 * time.Millisecond)
			r.require(Ejected)
			r.tick(100 * time.Millisecond)
			r.require(Trial)
		}},
		{"a stall in a trial ejects again", func(r *rig) {
			r.eject()
			r.tick(2 * time.Second)
			r.counters.Start(0, r.now)
			r.tick(600 * time.Millisecond)
			r.require(Ejected)
		}},
		{"relapses are forgotten", func(r *rig) {
			r.eject()
			r.tick(2 * time.Second)
			r.attempts(3, Succeeded, 0)
			require.Equal(r.t, 1, r.status().Relapses)
			r.tick(decayTime)
			require.Zero(r.t, r.status().Relapses)
		}},
		{"a trial without requests ends", func(r *rig) {
			r.eject()
			r.tick(2*time.Second + idleTrial)
			require.Equal(r.t, Untested, r.status().Reason)
			require.Empty(r.t, r.state.View().EjectionRequests())
		}},
		{"refused connections need no permit", func(r *rig) {
			r.attempts(2, Refused, 0)
			r.require(Dead)
			require.Empty(r.t, r.effects.EjectionRequests)
			require.Empty(r.t, r.state.View().Usable())
			r.tick(time.Second)
			require.Len(r.t, r.effects.Probes, 3)
			r.add(r.state.RecordProbe(r.now, "a", Self, true))
			r.require(Healthy)
		}},
		{"a broken path releases the server", func(r *rig) {
			r.counters.Start(0, r.now)
			r.tick(700 * time.Millisecond)
			require.Equal(r.t, []Probe{{Server: "a", WithPeer: true}}, r.effects.Probes)
			r.add(r.state.RecordProbe(r.now, "a", Peer, true))
			require.Empty(r.t, r.effects.OwnershipReleases)
			r.add(r.state.RecordProbe(r.now, "a", Self, false))
			require.Equal(r.t, []fleet.ServerID{"a"}, r.effects.OwnershipReleases)
		}},
		{"a probe clears no failing server", func(r *rig) {
			r.eject()
			r.add(r.state.RecordProbe(r.now, "a", Self, true))
			r.require(Ejected)
		}},
		{"a draining server gives its permit back", func(r *rig) {
			r.eject()
			r.add(r.state.MarkDraining(r.now, "a"))
			r.require(Draining)
			require.Equal(r.t, []fleet.ServerID{"a"}, r.effects.PermitReleases)
			r.add(r.state.ClearDraining(r.now, "a"))
			r.require(Healthy)
		}},
		{"timeouts below the stall threshold are a stall", func(r *rig) {
			r.state.Configure(Options{Service: "s", Detect: fleet.Careful, MaxDeadline: 2 * time.Second})
			r.attempts(3, TimedOut, time.Second)
			require.Equal(r.t, Stalled, r.status().Reason)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.observe()
			test.run(r)
		})
	}
}

// TestNoEvidence guards against ejections for what the server did not do.
func TestNoEvidence(t *testing.T) {
	tests := []struct {
		name string
		run  func(r *rig)
	}{
		{"cancelled by callers", func(r *rig) { r.attempts(50, Canceled, 0) }},
		{"deadlines that no server can meet", func(r *rig) { r.attempts(50, TimedOut, 50*time.Millisecond) }},
		{"the last server", func(r *rig) {
			r.taking = 1
			r.attempts(50, Failed, 0)
		}},
		{"a pause of this process", func(r *rig) {
			r.counters.Start(0, r.now)
			r.now = r.now.Add(2 * time.Second)
			r.observe()
			r.counters.Finish(0, r.now, TimedOut)
			r.attempts(9, Failed, 0)
			r.tick(400 * time.Millisecond)
		}},
		{"a cold start", func(r *rig) { r.attempts(20, Succeeded, 150*time.Millisecond) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.observe()
			r.state.SetBaseline(r.now, 30*time.Millisecond)
			test.run(r)
			r.require(Healthy)
			require.Empty(t, r.effects.EjectionRequests)
		})
	}
}

// TestQuantile guards the latency estimates that thresholds rest on.
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
	state := NewDetector(now, Options{MaxDeadline: time.Second})
	counters := NewCounters(now)
	readings := make([]Reading, 14)
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		counters.Start(0, now.Add(-20*time.Millisecond))
		counters.Finish(0, now, Succeeded)
		for i := range readings {
			readings[i] = Reading{Server: fleet.ServerID(rune('a' + i)), Snapshot: counters.Snapshot(now)}
		}
		state.Observe(now, readings, 14)
	}
}

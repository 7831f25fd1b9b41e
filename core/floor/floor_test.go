package floor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

var start = time.Unix(1000, 0)

// at returns a time in seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// reporter returns a report of a member with wishes given as server ids, of
// which the first is the worst.
func reporter(id string, sequence Sequence, usable fleet.Servers, wishes ...fleet.ServerID) Report {
	r := Report{Owner: fleet.Member{ID: fleet.InstanceID(id)}, Sequence: sequence, Usable: usable}
	for i, server := range wishes {
		r.Requests = append(r.Requests, EjectionRequest{Server: server, Severity: float64(10 - i)})
	}
	return r
}

// TestSteward guards against grants that take a service below its floor and
// against grants by a steward without the right to give them.
func TestSteward(t *testing.T) {
	type step struct {
		at      float64
		report  Report
		granted []fleet.ServerID
		ready   bool
	}
	worse := func(sequence Sequence) Report {
		r := reporter("b", sequence, 2)
		r.Requests = []EjectionRequest{{Server: "s9", Severity: 100}}
		return r
	}
	release := reporter("a", 3, 2)
	release.Released = []fleet.ServerID{"s1"}
	stale := reporter("a", 2, 2, "s1")
	stale.Released = []fleet.ServerID{"s1"}
	tests := []struct {
		name  string
		floor fleet.Servers
		lease float64
		steps []step
	}{
		{"waits one life", 1, 100, []step{
			{2.9, reporter("a", 1, 3, "s1"), nil, false},
			{3.0, reporter("a", 2, 3, "s1"), []fleet.ServerID{"s1"}, true},
		}},
		{"keeps the floor", 2, 100, []step{
			{4, reporter("a", 1, 3, "s1", "s2"), []fleet.ServerID{"s1"}, true},
		}},
		{"grants nothing at the floor", 3, 100, []step{
			{4, reporter("a", 1, 3, "s1"), nil, true},
		}},
		{"forgets reports after their life", 2, 100, []step{
			{4, reporter("b", 1, 2), nil, true},
			{6.9, reporter("a", 1, 1, "s1"), []fleet.ServerID{"s1"}, true},
			{7.1, reporter("a", 2, 1, "s1"), nil, true},
		}},
		{"grants nothing after its lease", 1, 5, []step{
			{4.9, reporter("a", 1, 3, "s1"), []fleet.ServerID{"s1"}, true},
			{5, reporter("a", 2, 3, "s1"), nil, false},
		}},
		{"revokes the least bad for a worse one", 3, 100, []step{
			{4, reporter("a", 1, 2, "s1"), nil, true},
			{4.1, reporter("b", 1, 2), nil, true},
			{4.2, reporter("a", 2, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{5, worse(2), nil, true},
			{5.2, reporter("a", 4, 2, "s1"), nil, true},
			{6, worse(3), nil, true},
			{7.3, worse(4), []fleet.ServerID{"s9"}, true},
		}},
		{"reuses a released permit", 3, 100, []step{
			{4, reporter("b", 1, 2), nil, true},
			{4, reporter("a", 1, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{4.5, release, nil, true},
			{4.6, reporter("b", 2, 2, "s2"), []fleet.ServerID{"s2"}, true},
		}},
		{"ignores a late release", 3, 100, []step{
			{4, reporter("b", 1, 2), nil, true},
			{4, reporter("a", 3, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{4.5, stale, nil, false},
			{4.6, reporter("b", 2, 2, "s2"), nil, true},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSteward(test.floor)
			s.Activate(start)
			s.ExtendLease(at(test.lease))
			for i, step := range test.steps {
				reply := s.HandleReport(at(step.at), step.report)
				require.Equal(t, step.granted, reply.Granted, "step %d", i)
				require.Equal(t, step.ready, reply.Decided, "step %d", i)
			}
		})
	}
}

// TestMedian guards the baseline of the service against a single owner's
// latencies and against reports whose life has passed.
func TestMedian(t *testing.T) {
	tests := []struct {
		name    string
		medians []time.Duration
		at      float64
		want    time.Duration
	}{
		{"middle one", []time.Duration{30, 900, 35}, 1, 35},
		{"unknown ones do not count", []time.Duration{0, 40, 0}, 1, 40},
		{"old ones do not count", []time.Duration{30, 35}, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSteward(1)
			s.Activate(start)
			s.ExtendLease(at(100))
			for i, median := range test.medians {
				s.HandleReport(at(0.5), Report{Owner: fleet.Member{Incarnation: fleet.Incarnation(i)}, Sequence: 1, MedianLatency: median})
			}
			reply := s.HandleReport(at(test.at), Report{Owner: fleet.Member{ID: "z"}, Sequence: 1})
			require.Equal(t, test.want, reply.MedianLatency)
		})
	}
}

// TestHolder guards against the use of a permit that the steward has given to
// another owner.
func TestHolder(t *testing.T) {
	wish := []EjectionRequest{{Server: "s1", Severity: 1}}
	usable := []fleet.ServerID{"s1"}
	yes := func(n Sequence) Reply { return Reply{Sequence: n, Decided: true, Granted: usable} }
	no := func(n Sequence) Reply { return Reply{Sequence: n, Decided: true} }
	tests := []struct {
		name  string
		run   func(h *Holder)
		valid bool
		at    float64
	}{
		{"counts from the sending", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.HandleReply(at(2), yes(1))
		}, false, 3},
		{"is valid until then", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.HandleReply(at(2), yes(1))
		}, true, 2.9},
		{"drops a reply that is too late", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.HandleReply(at(3), yes(1))
		}, false, 3},
		{"drops a grant that a later report released", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.BuildReport(at(0.5), usable, nil, 0)
			h.BuildReport(at(0.6), usable, wish, 0)
			h.HandleReply(at(0.7), yes(1))
		}, false, 0.7},
		{"drops it also after the later report was answered", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.BuildReport(at(0.5), usable, nil, 0)
			h.HandleReply(at(0.6), no(2))
			h.HandleReply(at(0.7), yes(1))
		}, false, 0.7},
		{"ends when it is not renewed", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.HandleReply(at(0.1), yes(1))
			h.BuildReport(at(1), usable, wish, 0)
			h.HandleReply(at(1.1), no(2))
		}, false, 1.2},
		{"ignores the reply to an older report", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.BuildReport(at(1), usable, wish, 0)
			h.HandleReply(at(1.1), yes(2))
			h.HandleReply(at(1.2), no(1))
		}, true, 1.3},
		{"keeps it while a new steward waits", func(h *Holder) {
			h.BuildReport(at(0), usable, wish, 0)
			h.HandleReply(at(0.1), yes(1))
			h.BuildReport(at(1), usable, wish, 0)
			h.HandleReply(at(1.1), Reply{Sequence: 2})
		}, true, 2.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := NewHolder(fleet.Member{ID: "a"})
			test.run(h)
			require.Equal(t, test.valid, h.View().HasPermit("s1", at(test.at)))
		})
	}
}

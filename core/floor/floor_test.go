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

// testReport returns a report of an owner with requests for the given servers, in
// order of descending severity.
func testReport(id string, sequence Sequence, usable fleet.Servers, requested ...fleet.ServerID) Report {
	r := Report{Owner: fleet.Member{ID: fleet.InstanceID(id)}, Sequence: sequence, Usable: usable}
	for i, server := range requested {
		r.Requests = append(r.Requests, EjectionRequest{Server: server, Severity: float64(10 - i)})
	}
	return r
}

// TestSteward guards against grants that take a service below its floor and
// against grants by a steward that must not grant permits.
func TestSteward(t *testing.T) {
	type step struct {
		at      float64
		report  Report
		granted []fleet.ServerID
		decided bool
	}
	severeReport := func(sequence Sequence) Report {
		r := testReport("b", sequence, 2)
		r.Requests = []EjectionRequest{{Server: "s9", Severity: 100}}
		return r
	}
	release := testReport("a", 3, 2)
	release.Released = []fleet.ServerID{"s1"}
	stale := testReport("a", 2, 2, "s1")
	stale.Released = []fleet.ServerID{"s1"}
	tests := []struct {
		name  string
		floor fleet.Servers
		lease float64
		steps []step
	}{
		{"waits for one permit TTL", 1, 100, []step{
			{2.9, testReport("a", 1, 3, "s1"), nil, false},
			{3.0, testReport("a", 2, 3, "s1"), []fleet.ServerID{"s1"}, true},
		}},
		{"keeps the floor", 2, 100, []step{
			{4, testReport("a", 1, 3, "s1", "s2"), []fleet.ServerID{"s1"}, true},
		}},
		{"grants nothing at the floor", 3, 100, []step{
			{4, testReport("a", 1, 3, "s1"), nil, true},
		}},
		{"ignores expired reports", 2, 100, []step{
			{4, testReport("b", 1, 2), nil, true},
			{6.9, testReport("a", 1, 1, "s1"), []fleet.ServerID{"s1"}, true},
			{7.1, testReport("a", 2, 1, "s1"), nil, true},
		}},
		{"grants nothing after its lease", 1, 5, []step{
			{4.9, testReport("a", 1, 3, "s1"), []fleet.ServerID{"s1"}, true},
			{5, testReport("a", 2, 3, "s1"), nil, false},
		}},
		{"moves a permit to a server with higher severity", 3, 100, []step{
			{4, testReport("a", 1, 2, "s1"), nil, true},
			{4.1, testReport("b", 1, 2), nil, true},
			{4.2, testReport("a", 2, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{5, severeReport(2), nil, true},
			{5.2, testReport("a", 4, 2, "s1"), nil, true},
			{6, severeReport(3), nil, true},
			{7.3, severeReport(4), []fleet.ServerID{"s9"}, true},
		}},
		{"reuses a released permit", 3, 100, []step{
			{4, testReport("b", 1, 2), nil, true},
			{4, testReport("a", 1, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{4.5, release, nil, true},
			{4.6, testReport("b", 2, 2, "s2"), []fleet.ServerID{"s2"}, true},
		}},
		{"ignores a late release", 3, 100, []step{
			{4, testReport("b", 1, 2), nil, true},
			{4, testReport("a", 3, 2, "s1"), []fleet.ServerID{"s1"}, true},
			{4.5, stale, nil, false},
			{4.6, testReport("b", 2, 2, "s2"), nil, true},
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
				require.Equal(t, step.decided, reply.Decided, "step %d", i)
			}
		})
	}
}

// TestMedian guards against a median latency of the service that depends on the
// value of a single owner or on expired reports.
func TestMedian(t *testing.T) {
	tests := []struct {
		name    string
		medians []time.Duration
		at      float64
		want    time.Duration
	}{
		{"median of the owners", []time.Duration{30, 900, 35}, 1, 35},
		{"unknown values do not count", []time.Duration{0, 40, 0}, 1, 40},
		{"expired reports do not count", []time.Duration{30, 35}, 4, 0},
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

// TestHolder guards against the use of a permit that the steward may have
// granted to another owner.
func TestHolder(t *testing.T) {
	requests := []EjectionRequest{{Server: "s1", Severity: 1}}
	usable := []fleet.ServerID{"s1"}
	granting := func(n Sequence) Reply { return Reply{Sequence: n, Decided: true, Granted: usable} }
	denying := func(n Sequence) Reply { return Reply{Sequence: n, Decided: true} }
	tests := []struct {
		name  string
		run   func(h *Holder)
		valid bool
		at    float64
	}{
		{"expires a TTL after the report was sent", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.HandleReply(at(2), granting(1))
		}, false, 3},
		{"is valid until the TTL has passed", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.HandleReply(at(2), granting(1))
		}, true, 2.9},
		{"ignores a reply to an expired report", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.HandleReply(at(3), granting(1))
		}, false, 3},
		{"ignores a grant that a later report released", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.BuildReport(at(0.5), usable, nil, 0)
			h.BuildReport(at(0.6), usable, requests, 0)
			h.HandleReply(at(0.7), granting(1))
		}, false, 0.7},
		{"ignores such a grant after the reply to the later report", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.BuildReport(at(0.5), usable, nil, 0)
			h.HandleReply(at(0.6), denying(2))
			h.HandleReply(at(0.7), granting(1))
		}, false, 0.7},
		{"ends a permit that is not renewed", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.HandleReply(at(0.1), granting(1))
			h.BuildReport(at(1), usable, requests, 0)
			h.HandleReply(at(1.1), denying(2))
		}, false, 1.2},
		{"ignores the reply to an older report", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.BuildReport(at(1), usable, requests, 0)
			h.HandleReply(at(1.1), granting(2))
			h.HandleReply(at(1.2), denying(1))
		}, true, 1.3},
		{"keeps a permit while a new steward does not decide", func(h *Holder) {
			h.BuildReport(at(0), usable, requests, 0)
			h.HandleReply(at(0.1), granting(1))
			h.BuildReport(at(1), usable, requests, 0)
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

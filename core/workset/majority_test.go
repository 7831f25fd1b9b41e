package workset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// TestMajority guards against an instance that takes itself for part of most of the fleet
// although it is cut off, and against one that does not although it is in contact.
func TestMajority(t *testing.T) {
	// heard is a heartbeat that arrived some time ago from an instance of a failure domain.
	type heard struct {
		domain   fleet.Domain
		count    int
		ago      time.Duration
		interval time.Duration
		// size and live are what the sender counts in its failure domain.
		size, live int
		leaving    bool
		reported   time.Duration
	}
	const fast, idle, rare = 400 * time.Millisecond, time.Second, 15 * time.Second
	tests := []struct {
		name     string
		heard    []heard
		size     int
		inTouch  int
		majority bool
	}{
		{"alone from the start", nil, 1, 1, true},
		{"own failure domain in contact", []heard{{domain: "a", count: 4, interval: idle}}, 5, 5, true},
		{"own failure domain silent", []heard{{domain: "a", count: 4, ago: 2 * time.Second, interval: idle}}, 5, 1, false},
		{"half of it silent", []heard{{domain: "a", count: 2, interval: idle}, {domain: "a", count: 3, ago: 2 * time.Second, interval: idle}}, 6, 3, false},
		{"counted by others", []heard{{domain: "a", count: 2, interval: idle}, {domain: "b", count: 1, interval: fast, size: 30, live: 28}}, 33, 31, true},
		{"the other failure domain silent", []heard{{domain: "a", count: 2, interval: idle}, {domain: "b", count: 1, ago: 2 * time.Second, interval: fast, size: 30, live: 30}}, 33, 3, false},
		{"only rare heartbeats of long ago", []heard{{domain: "b", count: 1, ago: 10 * time.Second, interval: rare, size: 30, live: 30}}, 31, 1, false},
		{"frequent reports have ended", []heard{{domain: "b", count: 1, ago: 2 * time.Second, interval: 2 * time.Second, size: 30, live: 30, reported: 2 * time.Second}}, 31, 1, false},
		{"reports go on", []heard{{domain: "b", count: 1, ago: 2 * time.Second, interval: fast, size: 30, live: 30, reported: 100 * time.Millisecond}}, 31, 31, true},
		{"a new instance counts few", []heard{{domain: "b", count: 1, interval: fast, size: 1, live: 1}, {domain: "b", count: 1, ago: 300 * time.Millisecond, interval: fast, size: 30, live: 29}}, 31, 30, true},
		{"planned stops", []heard{{domain: "a", count: 2, interval: idle}, {domain: "a", count: 9, ago: 20 * time.Second, interval: idle, leaving: true}}, 3, 3, true},
		{"earlier releases", []heard{{domain: "b", count: 3, interval: fast}, {domain: "b", count: 1, ago: 5 * time.Second, interval: fast}}, 5, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			s := New(Options{Self: Heartbeat{Member: fleet.Member{ID: "self"}, Domain: "a", PeerAddress: "self"}, Start: now.Add(-time.Minute)})
			for i, h := range test.heard {
				for n := range h.count {
					member := fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("%d-%d", i, n))}
					s.HandleHeartbeat(now.Add(-h.ago), Heartbeat{
						Member: member, Domain: h.domain, PeerAddress: fleet.Address(member.ID), Interval: h.interval,
						DomainSize: h.size, DomainHeard: h.live, Leaving: h.leaving,
					})
					if h.reported > 0 {
						require.True(t, s.RecordReport(now.Add(-h.reported), member))
					}
				}
			}
			s.UpdateView(now)
			require.Equal(t, test.size, s.View().Size())
			require.Equal(t, test.inTouch, s.View().HeardCount())
			require.Equal(t, test.majority, s.View().HasMajority())
		})
	}
}

// TestFleetUnknown guards against a restarted instance that takes itself for the whole fleet
// because its seeds do not answer, and against one that never does although it is alone.
func TestFleetUnknown(t *testing.T) {
	const self, other = fleet.Address("self"), fleet.Address("gone")
	tests := []struct {
		name  string
		seeds []fleet.Address
		// added are the seeds of changed settings.
		added  []fleet.Address
		heard  bool
		uptime time.Duration
		want   bool
	}{
		{"no seeds", nil, nil, false, time.Second, false},
		{"only itself as a seed", []fleet.Address{self}, nil, false, time.Second, false},
		{"seeds that do not answer", []fleet.Address{self, other}, nil, false, time.Second, true},
		{"a seed that answered", []fleet.Address{other}, nil, true, time.Second, false},
		{"other seeds that do not answer either", []fleet.Address{other}, []fleet.Address{"gone-too"}, false, 4 * time.Second, true},
		{"the settings no longer name others", []fleet.Address{other}, []fleet.Address{self}, false, 4 * time.Second, false},
		{"alone for as long as silent instances are remembered", []fleet.Address{other}, nil, false, forgetAfter + time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			s := New(Options{Self: Heartbeat{Member: fleet.Member{ID: "self"}, Domain: "a", PeerAddress: self}, Start: now.Add(-test.uptime), Seeds: test.seeds})
			if test.added != nil {
				s.AddContacts(test.added)
			}
			if test.heard {
				s.HandleHeartbeat(now, Heartbeat{Member: fleet.Member{ID: "other"}, Domain: "a", PeerAddress: other, Interval: idleInterval})
			}
			s.UpdateView(now)
			require.Equal(t, test.want, s.View().IsFleetUnknown())
			require.Equal(t, !test.want, s.View().HasMajority())
		})
	}
}

// TestAnnouncementsAfterLateContact guards against instances that know only a part of the fleet
// for long, because their seeds were lost when they started and they asked for no contacts when
// one of them found the others.
func TestAnnouncementsAfterLateContact(t *testing.T) {
	start := time.Now()
	s := New(Options{Self: Heartbeat{Member: fleet.Member{ID: "self"}, Domain: "a", PeerAddress: "self"}, Start: start, Seeds: []fleet.Address{"gone"}})
	s.UpdateView(start.Add(2 * announceTime))
	contactAt := start.Add(2*announceTime + time.Second)
	s.HandleHeartbeat(contactAt, Heartbeat{Member: fleet.Member{ID: "other"}, Domain: "a", PeerAddress: "other", Interval: idleInterval})
	s.UpdateView(contactAt)
	asked := false
	for _, outgoing := range s.DueHeartbeats(contactAt.Add(inUseInterval), false) {
		asked = asked || outgoing.Heartbeat.RequestsContacts && slices.Contains(outgoing.Recipients, "other")
	}
	require.True(t, asked)
}

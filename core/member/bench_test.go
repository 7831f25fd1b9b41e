package member_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// benchMembers and benchDomains are the size of the fleet expected in two years.
const (
	benchMembers = 400
	benchDomains = 10
)

// largeState returns a state that knows benchMembers active members.
func largeState() *member.State {
	s := member.New(epoch, member.Options{ID: "i0", Domain: "d0", PeerAddress: address(0), Random: rand.New(rand.NewPCG(1, 1))})
	var records []member.Record
	for i := 1; i < benchMembers; i++ {
		records = append(records, member.Record{
			Member:      fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: fleet.Incarnation(i)},
			Domain:      fleet.Domain(fmt.Sprintf("d%d", i%benchDomains)),
			PeerAddress: address(i), CallerAddress: address(i), Status: member.Active,
		})
	}
	s.MergeRecords(epoch, records)
	listing := fleet.Listing{Revision: 1, Instances: []fleet.ListedInstance{{ID: "i0", Domain: "d0", PeerAddress: address(0)}}}
	for _, r := range records {
		listing.Instances = append(listing.Instances, fleet.ListedInstance{ID: r.Member.ID, Domain: r.Domain, PeerAddress: r.PeerAddress})
	}
	s.SetListing(epoch, listing)
	return s
}

// BenchmarkState measures the periodic work of an instance in a fleet of
// benchMembers.
func BenchmarkState(b *testing.B) {
	b.Run("tick", func(b *testing.B) {
		s, now := largeState(), epoch
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			acknowledge(s, now, s.Tick(now))
		}
		require.True(b, s.View().LeaseValid(now))
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(50 * time.Millisecond)
			acknowledge(s, now, s.Tick(now))
		}
	})
	b.Run("heartbeat", func(b *testing.B) {
		s := largeState()
		from := fleet.Member{ID: "i7", Incarnation: 7}
		b.ReportAllocs()
		for b.Loop() {
			s.HandleHeartbeat(epoch, member.Heartbeat{From: from})
		}
	})
	b.Run("memory", func(b *testing.B) {
		var kept []*member.State
		before := heap()
		for b.Loop() {
			kept = append(kept, largeState())
		}
		b.ReportMetric(float64(heap()-before)/float64(len(kept)*benchMembers), "heap-bytes/record")
		require.NotEmpty(b, kept)
	})
}

// acknowledge replies to all heartbeats with acknowledgements and the same digest.
func acknowledge(s *member.State, now time.Time, effects member.Effects) {
	for _, out := range effects.Heartbeats {
		gossip := out.Message.Gossip
		gossip.Records = nil
		acknowledge(s, now, s.HandleHeartbeatReply(now, out, member.HeartbeatReply{From: out.To.Member, Acknowledged: true, Gossip: gossip}))
	}
}

// heap returns the bytes allocated on the heap after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

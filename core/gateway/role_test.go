package gateway

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// TestReaderAfterLoss guards against a fleet that misses changes while the store refuses
// only the active instances: the next instance in rank has to read the store.
func TestReaderAfterLoss(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		want bool
	}{
		{"the active instance reads", false, false},
		{"the store refuses the active instance", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: time.Millisecond}, false)
			clock.Advance(time.Second)
			active := peerHeartbeat("a-2", "a", 10, 100*time.Millisecond)
			active.Cores = 2
			active.StoreUnreachable = test.lost
			for range 3 {
				clock.Advance(100 * time.Millisecond)
				l.HandleHeartbeat(active)
				runCommands(l)
				l.state.tick()
			}
			require.Equal(t, test.want, r.following)
		})
	}
}

// TestFirstListing guards against a complete listing of the store by each instance that
// starts, and against an instance that waits for a copy that no peer sends.
func TestFirstListing(t *testing.T) {
	tests := []struct {
		name   string
		first  bool
		peer   bool
		copies bool
		uptime time.Duration
		want   bool
	}{
		{"at once", false, false, false, 0, false},
		{"no other instance", false, false, false, 100 * time.Millisecond, true},
		{"peers have no copy either", false, true, false, 100 * time.Millisecond, true},
		{"peers have a copy", false, true, true, 500 * time.Millisecond, false},
		{"the copy of a peer does not arrive", false, true, true, 700 * time.Millisecond, true},
		{"the first start", true, true, false, 500 * time.Millisecond, false},
		{"the first start, not the reader", true, true, false, 2 * time.Second, false},
		{"the first start, the reader sends no copy", true, true, false, 2500 * time.Millisecond, true},
		{"the first start, the reader", true, false, false, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.state.options.FirstStart = test.first
			larger := peerHeartbeat("a-2", "a", 10, 0)
			larger.Cores, larger.Ready = 2, test.copies
			for at := time.Duration(0); ; at += tickInterval {
				if test.peer {
					l.HandleHeartbeat(larger)
					runCommands(l)
				}
				l.state.tick()
				if at >= test.uptime {
					break
				}
				clock.Advance(tickInterval)
			}
			require.Equal(t, test.want, r.following)
		})
	}
}

// TestOneReader guards against several active instances of a failure domain that all
// call the store, and against an active instance that does not while the copy is overdue.
func TestOneReader(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"another instance reads", 100 * time.Millisecond, false},
		{"the copy is overdue", 2 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: test.age}, false)
			runCommands(l)
			larger := peerHeartbeat("a-2", "a", 10, test.age)
			larger.Cores, larger.RequestRate = 2, 10_000
			for range 3 {
				clock.Advance(tickInterval)
				l.HandleHeartbeat(larger)
				runCommands(l)
				l.state.tick()
			}
			require.Equal(t, workset.Active, l.View().WorkingSet().Role())
			require.Equal(t, test.want, r.following)
		})
	}
}

// TestReports guards against reports between failure domains that grow with the servers
// of the whole fleet, and against instances that get no reports about the servers of
// their own failure domain.
func TestReports(t *testing.T) {
	tests := []struct {
		name    string
		servers int
		// unreachable is the number of servers that this instance cannot reach, half of which
		// are of its own failure domain. It reports those if it needs help with them.
		unreachable int
		local       int
		remote      int
	}{
		{"few servers", 40, 0, 40, 40},
		{"many servers", 200, 0, 200, 100},
		{"many servers, few unreachable", 200, 20, 180, 90},
		{"many servers, many unreachable", 200, 80, 160, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			var servers []registry.Server
			for i := range test.servers {
				server := testServer(fleet.ServerID(fmt.Sprintf("s%03d", i)), fleet.Live)
				server.Domain = fleet.Domain(rune('a' + i%2))
				servers = append(servers, server)
			}
			routes := &route.Document{Version: 1, Services: []route.Service{{Name: "s"}}}
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Servers: servers, Routes: routes}, false)
			local, remote := peerHeartbeat("a-2", "a", 10, 0), peerHeartbeat("b-1", "b", 10, 0)
			local.RequestRate = 10_000
			clock.Advance(time.Second)
			l.HandleHeartbeat(local)
			l.HandleHeartbeat(remote)
			runCommands(l)
			upstream, found := l.View().Upstream("s")
			require.True(t, found)
			var tried []registry.Incarnation
			for range servers {
				lease, refusal := upstream.Servers.Pick(clock.Now(), balance.PickOptions{LatencyObjective: time.Second, TimeLeft: time.Second, Exclude: tried})
				require.Equal(t, balance.Chosen, refusal)
				tried = append(tried, lease.Server.Incarnation)
				if index, err := strconv.Atoi(string(lease.Server.ID[1:])); err == nil && index < test.unreachable {
					lease.Finish(clock.Now(), balance.Unreachable, balance.Load{})
				}
			}
			l.state.tick()
			require.Len(t, r.reported["a-2"], test.local)
			require.Len(t, r.reported["b-1"], test.remote)
		})
	}
}

// TestQuotaOfIdleInstances guards against retries beyond the quota of the fleet: idle
// instances, which get few requests, and those that know no other one must not each have an
// allowance of their own.
func TestQuotaOfIdleInstances(t *testing.T) {
	tests := []struct {
		name  string
		cores float64
		seeds []fleet.Address
		// unheard is set if no other instance is heard.
		unheard bool
		want    float64
	}{
		{"active for half of the window", 0.5, nil, false, 50.0 / 6},
		{"idle behind a larger machine", 2, nil, false, 0},
		{"alone for 4.8 s, without seeds", 0, nil, true, 0.48 * 50.0 / 3},
		{"alone, since the seeds do not answer", 0, []fleet.Address{"gone"}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoopWithSeeds(test.seeds)
			one := testServer("s1", fleet.Live)
			routes := &route.Document{Version: 1, Services: []route.Service{{Name: "s"}}}
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: time.Millisecond, Servers: []registry.Server{one}, Routes: routes}, false)
			runCommands(l)
			clock.Advance(time.Second)
			other := peerHeartbeat("a-2", "a", 10, 0)
			other.Cores = test.cores
			for range 4 {
				clock.Advance(100 * time.Millisecond)
				if !test.unheard {
					l.HandleHeartbeat(other)
				}
				runCommands(l)
				l.state.tick()
			}
			for i := range 47 {
				clock.Advance(tickInterval)
				if i == 46 {
					other.Uptime = time.Minute
				}
				if !test.unheard {
					l.HandleHeartbeat(other)
				}
				runCommands(l)
				l.state.tick()
			}
			upstream, found := l.state.newView().Upstream("s")
			require.True(t, found)
			require.InDelta(t, test.want, upstream.RepeatWindow.RemainingRepeats(clock.Now(), 0), 1e-9)
		})
	}
}

// TestBackupStops guards against calls to the store that nobody needs, by instances that go on
// reading it after their copy was confirmed again, or that begin at their first start because
// the configuration was not confirmed yet, and against one that stops although no other reads.
func TestBackupStops(t *testing.T) {
	tests := []struct {
		name string
		// silent is how long the peer that ranks first is silent after the first listing.
		silent time.Duration
		// reads is set if that peer reads the store when it is heard again.
		reads bool
		// during and after are whether this instance reads the store before the peer is heard
		// again, and 0.3 s after that.
		during, after bool
	}{
		{"the first confirmation is due", time.Second, true, false, false},
		{"nothing confirms the copy", 2 * time.Second, true, true, false},
		{"the other one does not read the store either", 2 * time.Second, false, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.state.options.FirstStart = true
			first := peerHeartbeat("a-2", "a", 10, 0)
			first.Cores, first.Interval = 2, 10*time.Second
			pass := func(d time.Duration, heard bool) {
				for range d / tickInterval {
					clock.Advance(tickInterval)
					if heard {
						l.HandleHeartbeat(first)
					}
					runCommands(l)
					l.state.tick()
				}
			}
			// The process has run for a while before it gets its first copy.
			first.Ready, first.ReadsStore = false, false
			pass(600*time.Millisecond, true)
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: time.Millisecond}, false)
			l.ApplyConfiguration(&route.Document{Services: []route.Service{{Name: "s"}}})
			pass(test.silent, false)
			require.Equal(t, test.during, r.following, "before the other one is heard again")
			if test.during {
				l.ApplyChanges(testBatch(10, 10))
			}
			first.Ready, first.ReadsStore = true, test.reads
			pass(300*time.Millisecond, true)
			require.Equal(t, test.after, r.following, "after that")
		})
	}
}

// TestFirstAnnouncement guards against a new instance that is without contacts, and so refuses
// requests, for a tick longer than its seeds take to answer.
func TestFirstAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{reported: make(map[fleet.Address][]balance.ServerReport)}
		l := New(Options{
			Self:  workset.Heartbeat{Member: fleet.Member{ID: "a-1", Incarnation: 1}, Domain: "a", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", Cores: 1},
			Seeds: []fleet.Address{"10.0.0.2:1"}, Clock: modelClock{}, Peers: r, StoreFollower: r, CopyFetcher: r, Traffic: r, Random: r, Events: r,
			Quota: retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Millisecond)
		stop()
		<-ended
		require.True(t, r.lastHeartbeat.RequestsContacts)
	})
}

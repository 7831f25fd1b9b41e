package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
)

func testDocument(version fleet.Version) *route.Document {
	return &route.Document{Version: version, Services: []route.Service{{Name: "s"}}}
}

// newIdleLoop returns a loop with a copy at revision 10 and configuration 3, last in rank
// after a number of peers, and the function that repeats the heartbeats of the peers.
func newIdleLoop(t *testing.T, peers int) (l *Loop, r *recorder, pass func(d time.Duration, revision fleet.Revision, version fleet.Version)) {
	t.Helper()
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: testDocument(3), Servers: []registry.Server{testServer("s1", fleet.Live)}}, false)
	runCommands(l)
	pass = func(d time.Duration, revision fleet.Revision, version fleet.Version) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			clock.Advance(tickInterval)
			for i := range peers {
				heartbeat := peerHeartbeat(fleet.InstanceID(rune('b'+i)), "a", revision, 0)
				heartbeat.Version, heartbeat.Cores = version, 8
				l.HandleHeartbeat(heartbeat)
			}
			runCommands(l)
			l.state.tick()
		}
	}
	pass(2*time.Second, 10, 3)
	require.False(t, r.following, "an idle instance does not read the store")
	return l, r, pass
}

// TestLateConfig guards against an instance that stays on an old configuration because no
// peer delivers the new one while the store is sound, and against reads of the store that
// peers make needless.
func TestLateConfig(t *testing.T) {
	tests := []struct {
		name      string
		announced fleet.Version
		duration  time.Duration
		reads     bool
	}{
		{"current", 3, 3 * time.Second, false},
		{"just announced", 4, 500 * time.Millisecond, false},
		{"not delivered", 4, 1200 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, pass := newIdleLoop(t, 12)
			pass(test.duration, 10, test.announced)
			require.Equal(t, test.announced > 3, len(r.configFetched) > 0)
			require.Equal(t, test.announced > 3, l.View().ConfigBehind(l.options.Clock.Now()))
			require.Equal(t, test.reads, r.configReads > 0)
		})
	}
}

// TestLateConfigOnce guards against reads of the store at each tick, and against reads for
// an announcement whose sender is gone.
func TestLateConfigOnce(t *testing.T) {
	l, r, pass := newIdleLoop(t, 2)
	pass(2500*time.Millisecond, 10, 4)
	require.Equal(t, 2, r.configReads)
	l.ApplyConfiguration(testDocument(4))
	runCommands(l)
	require.Equal(t, fleet.Version(4), l.View().Routes().Version())
	pass(3*time.Second, 10, 4)
	require.Equal(t, 2, r.configReads)
	pass(200*time.Millisecond, 10, 9)
	pass(announcementTTL+configReadInterval, 10, 4)
	reads := r.configReads
	pass(3*time.Second, 10, 4)
	require.Equal(t, reads, r.configReads, "nobody announces version 9 any more")
}

// TestLateListing guards against an instance of any rank that keeps using a server that
// left, because its peers announce the change and do not deliver it.
func TestLateListing(t *testing.T) {
	tests := []struct {
		name     string
		progress bool
		want     bool
	}{
		{"no change is delivered", false, true},
		{"changes are delivered, though newer ones exist", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, pass := newIdleLoop(t, 12)
			require.GreaterOrEqual(t, l.View().WorkingSet().Rank(), int(maxRankDelay/rankDelay), "an instance that waits longest")
			for i := range 15 {
				revision := fleet.Revision(12 + 2*i)
				pass(tickInterval, revision, 3)
				if test.progress {
					l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: revision - 1}, Partial: true, Age: time.Millisecond}, false)
					runCommands(l)
				}
			}
			require.NotEmpty(t, r.fetched)
			require.Equal(t, test.want, r.following)
		})
	}
}

// TestChangesWithoutConfiguration guards against configurations that travel with the
// changes of servers.
func TestChangesWithoutConfiguration(t *testing.T) {
	l, _, clock := newTestLoop()
	server := testServer("s1", fleet.Leaving)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: testDocument(3)}, false)
	l.ApplyChanges(testBatch(10, 12, follow.Change{Routes: testDocument(4)}, follow.Change{Server: &server}))
	runCommands(l)
	listing, err := l.state.changesSince(clock.Now(), fleet.Position{Revision: 10})
	require.NoError(t, err)
	server.Written = fleet.Position{Revision: 12}
	require.Equal(t, []follow.Change{{Position: server.Written, Server: &server}}, listing.Changes)
	require.Nil(t, l.View().Listing(clock.Now()).Routes)
	require.Equal(t, fleet.Version(4), l.View().Document().Version)
}

// TestReaderFetchesLate guards against bytes between instances for what the reader gets from
// the store in a moment, and against a reader that relies on a store that does not deliver.
func TestReaderFetchesLate(t *testing.T) {
	tests := []struct {
		name     string
		behind   time.Duration
		lost     bool
		confirms bool
		fetches  bool
	}{
		{"just announced", 100 * time.Millisecond, false, true, false},
		{"the store does not deliver it", overdueCopyAge + 200*time.Millisecond, false, true, true},
		{"the store refuses the reader", 100 * time.Millisecond, true, true, true},
		{"the store confirms nothing", overdueCopyAge + 200*time.Millisecond, false, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: testDocument(3)}, false)
			clock.Advance(time.Second)
			runCommands(l)
			require.True(t, r.following, "an instance that is alone reads the store")
			if test.lost {
				l.HandleStoreLost(errors.New("the store returned status 503"), clock.Now())
			}
			for at := time.Duration(0); at < test.behind; at += tickInterval {
				if test.confirms && !test.lost {
					l.ApplyChanges(testBatch(10, 10))
				}
				heartbeat := peerHeartbeat("a-2", "a", 12, 0)
				heartbeat.Version = 4
				l.HandleHeartbeat(heartbeat)
				runCommands(l)
				clock.Advance(tickInterval)
			}
			require.Equal(t, test.fetches, len(r.fetched) > 0, "changes")
			require.Equal(t, test.fetches, len(r.configFetched) > 0, "configuration")
		})
	}
}

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

// TestCopyOfAnotherDomain guards against an outdated copy while the store refuses all
// store readers of a failure domain: their heartbeats confirm the old revision to each
// other, but must not hide the newer revision of another failure domain.
func TestCopyOfAnotherDomain(t *testing.T) {
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: time.Millisecond}, false)
	clock.Advance(time.Second)
	runCommands(l)
	l.state.tick()
	require.True(t, r.following)
	l.HandleStoreLost(errors.New("the store returned status 503"), clock.Now())
	runCommands(l)
	for range 5 {
		clock.Advance(200 * time.Millisecond)
		l.HandleHeartbeat(peerHeartbeat("a-2", "a", 10, time.Second))
		l.HandleHeartbeat(peerHeartbeat("b-1", "b", 12, 0))
		runCommands(l)
	}
	require.Contains(t, r.fetched, fleet.Address("b-1"))
}

// TestCopyOfTheOwnDomainFirst guards against traffic between failure domains, which is
// paid for by the byte, while a peer of the own failure domain has the newer copy.
func TestCopyOfTheOwnDomainFirst(t *testing.T) {
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Age: time.Millisecond}, false)
	runCommands(l)
	l.HandleHeartbeat(peerHeartbeat("b-1", "b", 12, 0))
	runCommands(l)
	require.Empty(t, r.fetched)
	clock.Advance(100 * time.Millisecond)
	l.HandleHeartbeat(peerHeartbeat("a-2", "a", 12, 0))
	runCommands(l)
	require.Equal(t, []fleet.Address{"a-2"}, r.fetched)
}

// TestListingForPeers guards against listings that lack a change, and against complete
// listings where the changes would suffice.
func TestListingForPeers(t *testing.T) {
	l, _, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Servers: []registry.Server{one}}, false)
	l.ApplyChanges(testBatch(10, 12, follow.Change{Server: &two}))
	l.ApplyChanges(testBatch(12, 15, follow.Change{Removed: "s1"}))
	runCommands(l)
	tests := []struct {
		name    string
		known   fleet.Revision
		partial bool
		changes int
	}{
		{"older than all stored changes", 9, false, 0},
		{"since the listing", 10, true, 2},
		{"within a batch", 11, true, 2},
		{"after the first batch", 12, true, 1},
		{"current", 15, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listing, err := l.state.changesSince(clock.Now(), fleet.Position{Revision: test.known})
			if !test.partial {
				require.ErrorIs(t, err, follow.ErrCompacted)
				listing = l.View().Listing(clock.Now())
				require.Len(t, listing.Servers, 1)
			}
			require.Equal(t, fleet.Position{Revision: 15}, listing.Position)
			require.Equal(t, test.partial, listing.Partial)
			require.Len(t, listing.Changes, test.changes)
		})
	}
}

// errNoResponse is the error of a call to the store before a listing after an outage.
var errNoResponse = errors.New("no response")

// TestServersAfterAnOutage guards against dropping live servers whose entries lapsed
// while the store was unavailable, and against keeping servers that have left.
func TestServersAfterAnOutage(t *testing.T) {
	l, r, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Servers: []registry.Server{one, two}}, false)
	runCommands(l)
	clock.Advance(5 * time.Second)
	l.HandleStoreLost(errNoResponse, clock.Now())
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 20}}, true)
	runCommands(l)
	require.True(t, l.View().IsListedLive(one.Incarnation), "a server with a lapsed entry is kept at first")
	l.ApplyChanges(testBatch(20, 21, follow.Change{Server: &one}))
	clock.Advance(lapseGrace + time.Millisecond)
	runCommands(l)
	l.state.tick()
	l.view.Store(l.state.newView())
	require.True(t, l.View().IsListedLive(one.Incarnation), "the server has renewed its entry")
	require.False(t, l.View().IsListedLive(two.Incarnation), "the server has not renewed its entry")
	require.Equal(t, []fleet.ServerID{"s2"}, r.removed)
}

// TestServersAfterTheOwnOutage guards against requests to a server that has left, by an
// instance that the store refused for a while. The heartbeats of other instances had
// confirmed its copy, so the entry of a missing server was removed and has not lapsed.
func TestServersAfterTheOwnOutage(t *testing.T) {
	tests := []struct {
		name string
		// confirmed is how long, in an outage of 5 s, a peer confirms the copy.
		confirmed time.Duration
		want      bool
	}{
		{"the store was unavailable to all", 0, true},
		{"others lost it later", 3 * time.Second, true},
		{"the store refused only this instance", 5 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoop()
			one := testServer("s1", fleet.Live)
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Servers: []registry.Server{one}}, false)
			runCommands(l)
			for at := time.Duration(0); at < 5*time.Second; at += tickInterval {
				clock.Advance(tickInterval)
				if at < test.confirmed {
					l.HandleHeartbeat(peerHeartbeat("a-2", "a", 10, tickInterval))
					runCommands(l)
				}
				l.state.tick()
			}
			l.HandleStoreLost(errNoResponse, clock.Now())
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 20}}, true)
			runCommands(l)
			require.Equal(t, test.want, l.View().IsListedLive(one.Incarnation))
		})
	}
}

// TestConfigurationNeverReverts guards against an older or invalid configuration that
// replaces the active one.
func TestConfigurationNeverReverts(t *testing.T) {
	l, r, _ := newTestLoop()
	document := func(version fleet.Version, prefix string) *route.Document {
		return &route.Document{
			Version:  version,
			Services: []route.Service{{Name: "s"}},
			Routes: []route.Route{{
				Name: "r", Host: "h", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
				Backends: []route.Backend{{Service: "s", Weight: 1}},
			}},
		}
	}
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: document(5, "/new/")}, false)
	l.ApplyChanges(testBatch(10, 11, follow.Change{Routes: document(4, "/old/")}))
	l.ApplyChanges(testBatch(11, 12, follow.Change{Routes: document(6, "no-slash")}))
	runCommands(l)
	require.Equal(t, fleet.Version(5), l.View().Routes().Version())
	_, found := l.View().Routes().Match("h", "/new/x")
	require.True(t, found)
	require.Equal(t, []fleet.Version{6}, r.refused)
	require.ErrorIs(t, route.Validate(*document(6, "no-slash")), route.ErrInvalid)
	require.False(t, errors.Is(route.Validate(*document(6, "/x/")), route.ErrInvalid))
}

// TestLateListingOfTheStore guards against a request to a server that has left: a restarted instance
// got the copy of a peer while its own listing of the store was under way, and put that
// older listing in place of the copy.
func TestLateListingOfTheStore(t *testing.T) {
	l, _, _ := newTestLoop()
	live, leaving := testServer("s1", fleet.Live), testServer("s1", fleet.Leaving)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 12}, Age: time.Millisecond, Servers: []registry.Server{leaving}}, false)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Servers: []registry.Server{live}}, false)
	runCommands(l)
	require.False(t, l.View().IsListedLive(live.Incarnation))
	require.Equal(t, fleet.Position{Revision: 12}, l.View().Position())
}

// TestServersAreNotKeptByPassingOn guards against a server that is kept after an outage of the
// store by one instance and listed by it to others, which then kept it for good, and against
// instances that drop live servers because the listing of a peer lacks them after an outage.
func TestServersAreNotKeptByPassingOn(t *testing.T) {
	listing := func(revision fleet.Revision, servers ...registry.Server) follow.Listing {
		return follow.Listing{Position: fleet.Position{Revision: revision}, Servers: servers}
	}
	one := testServer("s1", fleet.Live)
	reader, _, readerClock := newTestLoop()
	peer, _, peerClock := newTestLoop()
	reader.ApplyListing(listing(10, one), false)
	peer.ApplyListing(listing(10, one), false)
	runCommands(reader)
	runCommands(peer)
	readerClock.Advance(5 * time.Second)
	peerClock.Advance(5 * time.Second)
	reader.HandleStoreLost(errNoResponse, readerClock.Now())
	reader.ApplyListing(listing(20), true)
	runCommands(reader)
	require.True(t, reader.View().IsListedLive(one.Incarnation), "kept by the reader")
	passedOn := reader.View().Listing(readerClock.Now())
	require.Empty(t, passedOn.Servers)
	passedOn.Age += time.Millisecond
	peer.ApplyListing(passedOn, false)
	runCommands(peer)
	require.True(t, peer.View().IsListedLive(one.Incarnation), "kept by the peer")
	peerClock.Advance(lapseGrace + time.Millisecond)
	peer.state.tick()
	runCommands(peer)
	require.False(t, peer.View().IsListedLive(one.Incarnation), "kept for the grace period only")
}

// TestEraOfPeers guards against an instance without contact to the store that stays in an old
// era, and against one that goes back to it.
func TestEraOfPeers(t *testing.T) {
	l, r, clock := newTestLoop()
	kept, removed := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.ApplyListing(follow.Listing{Position: fleet.Position{Era: 1, Revision: 50}, Age: time.Millisecond, Servers: []registry.Server{kept, removed}}, false)
	l.ApplyChanges(follow.Batch{
		From: fleet.Position{Era: 1, Revision: 50}, To: fleet.Position{Era: 1, Revision: 70},
		Changes: []follow.Change{{Position: fleet.Position{Era: 1, Revision: 70}, Removed: "s2"}},
	})
	runCommands(l)
	heartbeat := peerHeartbeat("a-2", "a", 0, 0)
	heartbeat.Position = fleet.Position{Era: 2, Revision: 60}
	l.HandleHeartbeat(heartbeat)
	runCommands(l)
	require.Equal(t, []fleet.Address{"a-2"}, r.fetched, "a lower revision of a later era is newer")
	removed.Written = fleet.Position{Era: 2, Revision: 50}
	l.ApplyListing(follow.Listing{Position: heartbeat.Position, Age: time.Millisecond, Servers: []registry.Server{removed}}, false)
	runCommands(l)
	require.Equal(t, heartbeat.Position, l.View().Position())
	require.True(t, l.View().IsListedLive(kept.Incarnation), "not written again yet")
	require.False(t, l.View().IsListedLive(removed.Incarnation), "removed in the old era")
	for _, late := range []follow.Listing{
		{Position: fleet.Position{Era: 1, Revision: 90}, Age: time.Millisecond, Servers: []registry.Server{removed}},
		{Position: fleet.Position{Era: 1, Revision: 90}, Servers: []registry.Server{removed}},
		{Position: fleet.Position{Era: 1, Revision: 90}, Partial: true, Since: fleet.Position{Era: 1, Revision: 50}},
	} {
		l.ApplyListing(late, false)
		runCommands(l)
		require.Equal(t, heartbeat.Position, l.View().Position(), "a result of the old era")
	}
	_, err := l.state.changesSince(clock.Now(), fleet.Position{Era: 1, Revision: 50})
	require.ErrorIs(t, err, follow.ErrCompacted)
}

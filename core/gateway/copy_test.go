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

// TestCopyOfAnotherDomain guards against a failure domain whose instances that
// read the store are all turned away by it: their beats confirm the old revision
// to each other and must not hide the newer one of another failure domain.
func TestCopyOfAnotherDomain(t *testing.T) {
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Revision: 10, Age: time.Millisecond}, false)
	clock.Advance(time.Second)
	apply(l)
	l.state.tick()
	require.True(t, r.watching)
	l.HandleStoreLost(errors.New("the store answered 503"))
	apply(l)
	for range 5 {
		clock.Advance(200 * time.Millisecond)
		l.HandleHeartbeat(peerBeat("a-2", "a", 10, time.Second))
		l.HandleHeartbeat(peerBeat("b-1", "b", 12, 0))
		apply(l)
	}
	require.Contains(t, r.fetched, fleet.Address("b-1"))
}

// TestCopyOfTheOwnDomainFirst guards against paying for bytes between failure
// domains while a peer of the own one has the newer copy.
func TestCopyOfTheOwnDomainFirst(t *testing.T) {
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Revision: 10, Age: time.Millisecond}, false)
	apply(l)
	l.HandleHeartbeat(peerBeat("b-1", "b", 12, 0))
	apply(l)
	require.Empty(t, r.fetched)
	clock.Advance(100 * time.Millisecond)
	l.HandleHeartbeat(peerBeat("a-2", "a", 12, 0))
	apply(l)
	require.Equal(t, []fleet.Address{"a-2"}, r.fetched)
}

// TestListingForPeers guards against copies that lack a change or that send
// everything for each change.
func TestListingForPeers(t *testing.T) {
	l, _, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.ApplyListing(follow.Listing{Revision: 10, Servers: []registry.Server{one}}, false)
	l.ApplyChanges([]follow.Change{{Server: &two}}, 12)
	l.ApplyChanges([]follow.Change{{Removed: "s1"}}, 15)
	apply(l)
	tests := []struct {
		name    string
		known   fleet.Revision
		partial bool
		changes int
	}{
		{"older than all that is kept", 9, false, 0},
		{"since the listing", 10, true, 2},
		{"within a batch", 11, true, 2},
		{"after the first batch", 12, true, 1},
		{"current", 15, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listing := l.state.listing(clock.Now(), test.known)
			require.Equal(t, fleet.Revision(15), listing.Revision)
			require.Equal(t, test.partial, listing.Partial)
			require.Len(t, listing.Changes, test.changes)
			if !test.partial {
				require.Len(t, listing.Servers, 1)
			}
		})
	}
}

// TestServersAfterAnOutage guards against dropping servers whose entries lapsed
// while the store was away, and against keeping those that are gone.
func TestServersAfterAnOutage(t *testing.T) {
	l, r, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.ApplyListing(follow.Listing{Revision: 10, Servers: []registry.Server{one, two}}, false)
	apply(l)
	clock.Advance(5 * time.Second)
	l.ApplyListing(follow.Listing{Revision: 20}, true)
	apply(l)
	require.True(t, l.View().IsListedLive(one.Incarnation), "a lapsed server is kept at first")
	l.ApplyChanges([]follow.Change{{Server: &one}}, 21)
	clock.Advance(lapseGrace + time.Millisecond)
	apply(l)
	l.state.tick()
	l.view.Store(l.state.publish())
	require.True(t, l.View().IsListedLive(one.Incarnation), "it has renewed its entry")
	require.False(t, l.View().IsListedLive(two.Incarnation), "it has not come back")
	require.Equal(t, []fleet.ServerID{"s2"}, r.gone)
}

// TestServersAfterTheOwnOutage guards against requests to a server that has left, by
// an instance that the store turned away for a while: others had confirmed its copy,
// so a server that is missing has not lapsed.
func TestServersAfterTheOwnOutage(t *testing.T) {
	tests := []struct {
		name string
		// until is how long others confirm the copy, of an outage of 5 s.
		until time.Duration
		want  bool
	}{
		{"the store was away for all", 0, true},
		{"others lost it, too", 3 * time.Second, true},
		{"only this instance was turned away", 5 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoop()
			one := testServer("s1", fleet.Live)
			l.ApplyListing(follow.Listing{Revision: 10, Servers: []registry.Server{one}}, false)
			apply(l)
			for at := time.Duration(0); at < 5*time.Second; at += tickEvery {
				clock.Advance(tickEvery)
				if at < test.until {
					l.HandleHeartbeat(peerBeat("a-2", "a", 10, tickEvery))
					apply(l)
				}
				l.state.tick()
			}
			l.ApplyListing(follow.Listing{Revision: 20}, true)
			apply(l)
			require.Equal(t, test.want, l.View().IsListedLive(one.Incarnation))
		})
	}
}

// TestConfigurationNeverReverts guards against an older or invalid configuration
// replacing the one in force.
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
	l.ApplyListing(follow.Listing{Revision: 10, Routes: document(5, "/new/")}, false)
	l.ApplyChanges([]follow.Change{{Routes: document(4, "/old/")}}, 11)
	l.ApplyChanges([]follow.Change{{Routes: document(6, "no-slash")}}, 12)
	apply(l)
	require.Equal(t, fleet.Version(5), l.View().Routes().Version())
	_, found := l.View().Routes().Match("h", "/new/x")
	require.True(t, found)
	require.Equal(t, []fleet.Version{6}, r.refused)
	require.ErrorIs(t, route.Validate(*document(6, "no-slash")), route.ErrInvalid)
	require.False(t, errors.Is(route.Validate(*document(6, "/x/")), route.ErrInvalid))
}

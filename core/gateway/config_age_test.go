package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// configHeartbeat returns a heartbeat of a peer with a version of the configuration that
// was confirmed some time ago.
func configHeartbeat(version fleet.Version, age time.Duration) workset.Heartbeat {
	heartbeat := peerHeartbeat("a-2", "a", 10, 0)
	heartbeat.Version, heartbeat.ConfigAge, heartbeat.ReadAge = version, age, age
	return heartbeat
}

// TestConfigConfirmed guards against a configuration that counts as confirmed although
// nothing that arrived shows that it is current: keys may have been removed since.
func TestConfigConfirmed(t *testing.T) {
	tests := []struct {
		name string
		// frozen is the time without a tick before the message arrives.
		frozen  time.Duration
		receive func(l *Loop)
		// age is the age of the configuration afterwards.
		age time.Duration
	}{
		{"nothing", 0, func(*Loop) {}, time.Second},
		{"watch of the store", 0, func(l *Loop) { l.ApplyChanges(testBatch(10, 10)) }, 0},
		{"listing of the store", 0, func(l *Loop) {
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 11}, Routes: &route.Document{Version: 3}}, false)
		}, 0},
		{"listing of the store with a refused configuration", 0, func(l *Loop) {
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 11}, Refused: &follow.ConfigError{Version: 4, Reason: route.ErrInvalid}}, false)
		}, 0},
		{"listing of a peer", 0, func(l *Loop) {
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 11}, Age: time.Millisecond}, false)
		}, time.Second},
		{"peer with the same version", 0, func(l *Loop) { l.HandleHeartbeat(configHeartbeat(3, 200*time.Millisecond)) }, 200 * time.Millisecond},
		{"peer with the same version that is behind", 0, func(l *Loop) { l.HandleHeartbeat(configHeartbeat(3, 5*time.Second)) }, time.Second},
		{"peer with the same version that does not read the store", 0, func(l *Loop) {
			heartbeat := configHeartbeat(3, 0)
			heartbeat.ReadsStore = false
			l.HandleHeartbeat(heartbeat)
		}, time.Second},
		{"peer with a newer version", 0, func(l *Loop) { l.HandleHeartbeat(configHeartbeat(4, 0)) }, time.Second},
		{"peer with an older version", 0, func(l *Loop) { l.HandleHeartbeat(configHeartbeat(2, 0)) }, time.Second},
		{"heartbeat after a freeze", 9 * time.Second, func(l *Loop) { l.HandleHeartbeat(configHeartbeat(3, 0)) }, 10 * time.Second},
		{"watch after a freeze", 9 * time.Second, func(l *Loop) { l.ApplyChanges(testBatch(10, 10)) }, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoop()
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: &route.Document{Version: 3}}, false)
			runCommands(l)
			for range 10 {
				clock.Advance(100 * time.Millisecond)
				l.state.tick()
			}
			clock.Advance(test.frozen)
			test.receive(l)
			runCommands(l)
			require.Equal(t, test.age, clock.Now().Sub(l.View().ConfigConfirmedAt()))
		})
	}
}

// TestConfigConfirmedAfterFreeze guards against an instance that goes on refusing keys
// after it was frozen, although its peers confirm the configuration again.
func TestConfigConfirmedAfterFreeze(t *testing.T) {
	l, _, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: &route.Document{Version: 3}}, false)
	runCommands(l)
	clock.Advance(time.Minute)
	for range 4 {
		l.state.tick()
		l.HandleHeartbeat(configHeartbeat(3, 0))
		runCommands(l)
		clock.Advance(100 * time.Millisecond)
	}
	require.Equal(t, 100*time.Millisecond, clock.Now().Sub(l.View().ConfigConfirmedAt()))
}

// TestConfigAgeInHeartbeats guards against an instance that is behind and confirms its old
// configuration to others.
func TestConfigAgeInHeartbeats(t *testing.T) {
	l, r, clock := newTestLoop()
	l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: &route.Document{Version: 3}}, false)
	runCommands(l)
	for range 30 {
		clock.Advance(100 * time.Millisecond)
		l.HandleHeartbeat(configHeartbeat(4, 0))
		runCommands(l)
		l.state.tick()
		l.state.sendHeartbeats()
	}
	require.EqualValues(t, 3, r.lastHeartbeat.Version)
	require.Less(t, r.lastHeartbeat.CopyAge, time.Second, "the listing is current")
	require.Greater(t, r.lastHeartbeat.ConfigAge, 2*time.Second)
}

// TestBehindAfterFreeze guards against an instance that, right after it was frozen, says of a
// key or a route which its old configuration lacks that it does not exist.
func TestBehindAfterFreeze(t *testing.T) {
	tests := []struct {
		name string
		// heartbeat is the version that a peer states after the freeze; zero for none.
		heartbeat fleet.Version
		after     time.Duration
		behind    bool
	}{
		{"at once", 0, 0, true},
		{"no peer yet", 0, time.Second, true},
		{"confirmed", 3, time.Second, false},
		{"newer version", 4, time.Second, true},
		{"no peer for long", 0, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoop()
			l.ApplyListing(follow.Listing{Position: fleet.Position{Revision: 10}, Routes: &route.Document{Version: 3}}, false)
			runCommands(l)
			require.False(t, l.View().ConfigBehind(clock.Now()))
			clock.Advance(10 * time.Second)
			require.True(t, l.View().ConfigBehind(clock.Now()), "the control goroutine has not run yet")
			l.state.tick()
			l.publish()
			for waited := time.Duration(0); waited < test.after; waited += 100 * time.Millisecond {
				clock.Advance(100 * time.Millisecond)
				if test.heartbeat > 0 {
					l.HandleHeartbeat(configHeartbeat(test.heartbeat, 0))
				}
				runCommands(l)
				l.state.tick()
				l.publish()
			}
			require.Equal(t, test.behind, l.View().ConfigBehind(clock.Now()))
		})
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
)

// TestUnattendedDomains guards against servers that nobody keeps in use, because the
// instances of their failure domain are gone or get no requests.
func TestUnattendedDomains(t *testing.T) {
	l, r, clock := newTestLoop()
	remote := testServer("s2", fleet.Live)
	remote.Domain = "b"
	l.ApplyListing(follow.Listing{Revision: 10, Servers: []registry.Server{testServer("s1", fleet.Live), remote}}, false)
	pass := func(duration time.Duration, heartbeats bool, rate float64) {
		for end := clock.Now().Add(duration); clock.Now().Before(end); clock.Advance(100 * time.Millisecond) {
			if heartbeats {
				heartbeat := peerHeartbeat("b-1", "b", 10, 0)
				heartbeat.RequestRate = rate
				l.HandleHeartbeat(heartbeat)
			}
			r.started += 10
			runCommands(l)
			l.state.tick()
		}
	}
	pass(time.Second, true, 50)
	require.Empty(t, l.state.unattended)
	pass(6*time.Second, false, 0)
	require.Equal(t, map[fleet.Domain]bool{"b": true}, l.state.unattended)
	pass(time.Second, true, 50)
	require.Empty(t, l.state.unattended)
	pass(time.Second, true, 0)
	require.Equal(t, map[fleet.Domain]bool{"b": true}, l.state.unattended)
}

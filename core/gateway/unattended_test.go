package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
)

// TestUnattendedDomains guards against servers that nobody keeps in use, because all
// instances of their failure domain are gone.
func TestUnattendedDomains(t *testing.T) {
	l, _, clock := newTestLoop()
	remote := testServer("s2", fleet.Live)
	remote.Domain = "b"
	l.ApplyListing(follow.Listing{Revision: 10, Servers: []registry.Server{testServer("s1", fleet.Live), remote}}, false)
	pass := func(duration time.Duration, heartbeats bool) {
		for end := clock.Now().Add(duration); clock.Now().Before(end); clock.Advance(100 * time.Millisecond) {
			if heartbeats {
				l.HandleHeartbeat(peerHeartbeat("b-1", "b", 10, 0))
			}
			runCommands(l)
			l.state.tick()
		}
	}
	pass(time.Second, true)
	require.Empty(t, l.state.unattended)
	pass(6*time.Second, false)
	require.Equal(t, map[fleet.Domain]bool{"b": true}, l.state.unattended)
	pass(time.Second, true)
	require.Empty(t, l.state.unattended)
}

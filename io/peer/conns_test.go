package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// TestCloseUnused guards against connections to replaced instances that are never
// closed, and against closing a connection that is in use.
func TestCloseUnused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client := NewClient(ClientOptions{Clock: clock})
	defer client.Close()
	first, err := client.connFor(connKey{address: "127.0.0.1:1"})
	require.NoError(t, err)
	for i := range 20 {
		clock.Advance(time.Minute)
		_, err := client.connFor(connKey{address: fleet.Address(fmt.Sprintf("127.0.0.1:%d", 2+i))})
		require.NoError(t, err)
		reused, err := client.connFor(connKey{address: "127.0.0.1:1"})
		require.NoError(t, err)
		require.Same(t, first, reused)
	}
	assert.LessOrEqual(t, len(client.conns), 7)
}

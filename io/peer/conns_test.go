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

// TestUnused guards against connections to replaced instances that are kept
// for ever, and against the end of one that is in use.
func TestUnused(t *testing.T) {
	clock := clockwork.NewFakeClock()
	client := NewClient(ClientOptions{Clock: clock})
	defer client.Close()
	kept, err := client.conn(connKey{address: "127.0.0.1:1"})
	require.NoError(t, err)
	for i := range 20 {
		clock.Advance(time.Minute)
		_, err := client.conn(connKey{address: fleet.Address(fmt.Sprintf("127.0.0.1:%d", 2+i))})
		require.NoError(t, err)
		again, err := client.conn(connKey{address: "127.0.0.1:1"})
		require.NoError(t, err)
		require.Same(t, kept, again)
	}
	assert.LessOrEqual(t, len(client.conns), 7)
}

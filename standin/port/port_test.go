package port_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/port"
)

// Guards against two processes that are given the same port, and against a
// reservation that keeps its own process from listening.
func TestReserve(t *testing.T) {
	tests := []struct {
		name string
		use  func(t *testing.T, a fleet.Address) error
		ok   bool
	}{
		{"second reservation", func(_ *testing.T, a fleet.Address) error {
			_, err := port.Reserve(a)
			return err
		}, false},
		{"listen and listen again", func(t *testing.T, a fleet.Address) error {
			for range 2 {
				l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", string(a))
				if err != nil {
					return err
				}
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", string(a))
				if err != nil {
					return err
				}
				_ = conn.Close()
				_ = l.Close()
			}
			return nil
		}, true},
		{"no listener is refused", func(t *testing.T, a fleet.Address) error {
			_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", string(a))
			return err
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			held, err := port.Reserve("127.0.0.1:0")
			require.NoError(t, err)
			defer held.Release()
			assert.Equal(t, test.ok, test.use(t, held.Address()) == nil)
		})
	}
}

// Guards against a name that resolves differently on each machine.
func TestReserveRefusals(t *testing.T) {
	tests := []fleet.Address{"", "localhost:0", "127.0.0.1", "[::1]:0"}
	for _, address := range tests {
		_, err := port.Reserve(address)
		assert.Error(t, err, address)
	}
}

package port_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/standin/port"
)

// Guards against two reservations of the same port, and against a reservation that
// prevents the process it is for from listening.
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
			reservation, err := port.Reserve("127.0.0.1:0")
			require.NoError(t, err)
			defer reservation.Release()
			assert.Equal(t, test.ok, test.use(t, reservation.Address()) == nil)
		})
	}
}

// Guards against host names, which can resolve differently on each machine, and
// against other addresses that cannot be reserved.
func TestReserveRefusals(t *testing.T) {
	tests := []fleet.Address{"", "localhost:0", "127.0.0.1", "[::1]:0"}
	for _, address := range tests {
		_, err := port.Reserve(address)
		assert.Error(t, err, address)
	}
}

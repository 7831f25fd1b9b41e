package throttle

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// TestBandwidth guards against connections that together exceed the bandwidth of the
// link.
func TestBandwidth(t *testing.T) {
	tests := []struct {
		name        string
		connections int
		bytes       int
		bandwidth   Mbps
		want        time.Duration
	}{
		{"one connection", 1, 50_000, 4, 100 * time.Millisecond},
		{"connections share the link", 4, 12_500, 4, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			socket, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			listener := New(socket, test.bandwidth, clockwork.NewRealClock())
			defer func() { _ = listener.Close() }()
			startedAt := time.Now()
			done := make(chan int, test.connections)
			for range test.connections {
				client, err := net.Dial("tcp4", listener.Addr().String())
				require.NoError(t, err)
				server, err := listener.Accept()
				require.NoError(t, err)
				go func() {
					_, _ = server.Write(make([]byte, test.bytes))
					_ = server.Close()
				}()
				go func() {
					received, _ := io.ReadAll(client)
					done <- len(received)
				}()
			}
			for range test.connections {
				require.Equal(t, test.bytes, <-done)
			}
			require.GreaterOrEqual(t, time.Since(startedAt), test.want)
		})
	}
}

package integration_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
)

// TestGatewayServerNotices guards against requests to a server that has said in a response
// that it leaves, or that wants no request for a while, while the store lists it as ready.
func TestGatewayServerNotices(t *testing.T) {
	tests := []struct {
		name  string
		fault backend.Fault
		// slack is how long after the first response with the notice requests may still
		// arrive, within is how long none may arrive after that.
		slack, within time.Duration
		// servers are those with the notice. The servers of the own failure domain, 0 and
		// 2, are chosen first.
		servers []int
		served  bool
	}{
		{"leaving", backend.Leaving, 0, 3 * time.Second, []int{0, 2}, true},
		{"pause", backend.Pause, 500 * time.Millisecond, backend.PauseTime, []int{0, 2}, true},
		{"all pause", backend.Pause, 500 * time.Millisecond, backend.PauseTime, []int{0, 1, 2}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFleet(t, 1)
			servers := f.startServers("one", "i-1", "i-2", "i-3")
			f.putConfig(3, "one")
			f.start(f.instances[0])
			f.awaitReady(f.instances...)
			for _, i := range test.servers {
				servers[i].SetFault(test.fault)
			}
			served := 0
			until := time.Now().Add(4 * time.Second)
			for time.Now().Before(until) {
				// The first request may be refused: a new instance has no quota of repeats.
				status, body := f.call(f.instances[0].callerAddress, "POST", "/write/x")
				require.Contains(t, []int{200, 503}, status, body)
				if status == 200 {
					served++
				}
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, test.served, served > 100)
			for _, i := range test.servers {
				arrivals := servers[i].Arrivals()
				require.NotEmpty(t, arrivals, "the server got a request")
				late := 0
				for _, at := range arrivals[1:] {
					since := at.Sub(arrivals[0])
					if since > test.slack && since < test.within {
						late++
					}
				}
				require.Zero(t, late)
			}
		})
	}
}

package cmd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/io/operator"
)

// TestPrintState guards against a table that omits the reason why a server
// receives no requests.
func TestPrintState(t *testing.T) {
	tests := []struct {
		name  string
		state operator.InstanceState
		want  []string
	}{
		{"empty", operator.InstanceState{}, []string{"not ready", "lease lost", "version 0"}},
		{"draining", operator.InstanceState{Ready: true, Draining: true, Lease: operator.Lease{Valid: true, TimeLeftMS: 1500}}, []string{"draining", "lease 1.5s"}},
		{
			"configuration",
			operator.InstanceState{Config: operator.Config{Version: 7, Digest: "0123456789abcdef", AgeMS: 61000, KeysRequired: true, WatchingPlatform: true, PlatformFailingMS: 4000}},
			[]string{"version 7", "keys required", "age 1m1s", "digest 0123456789ab", "platform failing for 4s"},
		},
		{"ejection", operator.InstanceState{
			OwnedServers: []operator.OwnedServer{{ID: "s1", Service: "svc", Health: "ejected", Slots: 4, BusySlots: 1, Reason: "stalled"}},
			Ejections:    []operator.Ejection{{Server: "s1", Service: "svc", Reason: "3 requests stalled", Since: time.Unix(0, 0), PermitTimeLeftMS: 2000, Relapses: 2}},
		}, []string{"s1", "1/4", "stalled", "3 requests stalled", "1970-01-01T00:00:00Z", "2s"}},
		{
			"customers",
			operator.InstanceState{Customers: []operator.Customer{{Name: "sese880", Configured: true, RatePerS: 445, Burst: 22.5, Requests: 31, Refused: 7, Quota: &operator.Quota{Own: 11, Known: 1213, Limit: 2670, Share: 415, Reserved: 16, Refused: 3}}, {Name: "gone", Requests: 2}}},
			[]string{"sese880", "445/s", "22.5", "31", "of the route", "1213/2670", "11/415", "gone", "not configured"},
		},
		{
			"above the fair share",
			operator.InstanceState{FairShares: []operator.FairShare{{Service: "orders", Customer: "sese880", UsedSlots: 31.256, FairShareSlots: 12.5, RefusedPerS: 40.02}}},
			[]string{"ABOVE FAIR SHARE OF", "orders", "sese880", "31.26", "12.50", "40.0"},
		},
		{"peers", operator.InstanceState{Peers: []operator.Peer{{ID: "i2", Incarnation: 255, State: "leaving", CallerAddress: "10.0.0.2:80"}}}, []string{"i2", "ff", "leaving", "10.0.0.2:80"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, printState(&out, tt.state))
			for _, want := range tt.want {
				require.Contains(t, out.String(), want)
			}
		})
	}
}

// TestFetchFromOperator guards against an error response of the instance that is printed
// as its state.
func TestFetchFromOperator(t *testing.T) {
	tests := []struct {
		name   string
		status int
		err    bool
	}{
		{"state", http.StatusOK, false},
		{"error", http.StatusServiceUnavailable, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/state", r.URL.Path)
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			encoded, err := fetchFromOperator(context.Background(), server.Listener.Addr().String(), "/state")
			require.Equal(t, tt.err, err != nil, "%v", err)
			if !tt.err {
				require.Equal(t, "{}", string(encoded))
			}
		})
	}
}

package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// fakeInstance implements Health and StateSource with fixed values.
type fakeInstance struct{}

func (fakeInstance) Live() bool { return true }

func (fakeInstance) Ready() bool { return false }

func (fakeInstance) Draining() bool { return true }

func (fakeInstance) State() any {
	return InstanceState{Instance: Instance{ID: "i1", Incarnation: 1 << 63}}
}

// TestServer guards against health checks that return the result of another one,
// and against profiling routes that are open without being enabled.
func TestServer(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter("galenaridge_test_total").Inc()
	tests := []struct {
		name        string
		enablePprof bool
		method      string
		path        string
		status      int
		body        string
	}{
		{"live", false, "GET", "/live", 200, "yes"},
		{"not ready", false, "GET", "/ready", 503, "no"},
		{"draining", false, "GET", "/draining", 200, "yes"},
		{"metrics", false, "GET", "/metrics", 200, "galenaridge_test_total 1"},
		{"process metrics", false, "GET", "/metrics", 200, "process_resident_memory_bytes"},
		{"state", false, "GET", "/state", 200, `"incarnation":"9223372036854775808"`},
		{"read-only", false, "POST", "/state", 405, ""},
		{"no profile", false, "GET", "/debug/pprof/cmdline", 404, ""},
		{"profile", true, "GET", "/debug/pprof/cmdline", 200, "operator"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := New(Options{Health: fakeInstance{}, StateSource: fakeInstance{}, Metrics: []*metrics.Set{set}, EnablePprof: tt.enablePprof})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var wg conc.WaitGroup
			wg.Go(func() { _ = server.Serve(listener) })
			request, err := http.NewRequestWithContext(context.Background(), tt.method, "http://"+listener.Addr().String()+tt.path, nil)
			require.NoError(t, err)
			request.Close = true
			client := http.Client{Timeout: 2 * time.Second}
			response, err := client.Do(request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			require.NoError(t, err)
			require.Equal(t, tt.status, response.StatusCode, string(body))
			require.Contains(t, string(body), tt.body)
			require.NoError(t, server.Shutdown(context.Background()))
			wg.Wait()
		})
	}
}

// TestInstanceState guards against a state that the command show cannot decode.
func TestInstanceState(t *testing.T) {
	state := InstanceState{
		Instance:     Instance{ID: "i1", Incarnation: fleet.Incarnation(1<<64 - 1)},
		OwnedServers: []OwnedServer{{ID: "s1", Weight: 0.5, HealthSince: time.Unix(5, 0).UTC()}},
	}
	encoded, err := json.Marshal(state)
	require.NoError(t, err)
	var decoded InstanceState
	require.NoError(t, json.Unmarshal(encoded, &decoded))
	require.Equal(t, state, decoded)
}

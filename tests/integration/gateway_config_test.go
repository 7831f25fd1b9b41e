package integration_test

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// typedConfig returns a configuration with a read route and a route of the given type,
// which is JSON text.
func typedConfig(version int, routeType string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"one"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":400000,"header_timeout_ms":3000,"idle_timeout_ms":5000},
"hosts":[{"host":"h.example","paths":[
{"name":"read","prefix":"/read/","type":"idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"one","max_attempts":2},
{"name":"other","prefix":"/other/","type":%s,"timeout_ms":1500,"target_latency_ms":400,"priority":0,"service":"one","max_attempts":2}]}]}`, version, routeType)
}

// TestGatewayRouteTypes guards against one word in one route that makes the whole fleet
// unavailable: instances that know no other configuration served nothing.
func TestGatewayRouteTypes(t *testing.T) {
	tests := []struct{ name, routeType string }{
		{"upload", `"upload"`},
		{"unknown", `"sometimes"`},
		{"not text", `{"retry":"never"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFleet(t, 2)
			f.startServers("one", "i-1", "i-2")
			f.store.Put("op/config", typedConfig(3, test.routeType))
			for _, instance := range f.instances {
				f.start(instance)
			}
			f.awaitReady(f.instances...)
			for _, instance := range f.instances {
				for _, path := range []string{"/read/x", "/other/x"} {
					status, body := f.call(instance.callerAddress, "POST", path)
					require.Equal(t, 200, status, body)
				}
			}
		})
	}
}

// TestGatewayRefusedConfig guards against an instance that refuses a configuration, or has
// none, and does not show it.
func TestGatewayRefusedConfig(t *testing.T) {
	f := newGatewayFleet(t, 2)
	f.startServers("one", "i-1", "i-2")
	first, second := f.instances[0], f.instances[1]
	f.store.Put("op/config", typedConfig(3, `"upload"`)[:200])
	f.start(first)
	readiness := func() string {
		response, err := http.Get("http://" + first.readinessAddress + "/v1/readiness")
		if err != nil {
			return ""
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return fmt.Sprint(response.StatusCode, " ", string(content))
	}
	require.Eventually(t, func() bool { return f.gauge(first, "galenaridge_config_refused") == 1 }, 5*time.Second, 20*time.Millisecond)
	require.Contains(t, readiness(), "503")
	require.Contains(t, readiness(), "refused")
	status, _ := f.call(first.callerAddress, "GET", "/read/x")
	require.Equal(t, 503, status)
	shown, err := exec.Command(f.binary, "show", "--operator", first.operatorAddress).CombinedOutput()
	require.NoError(t, err, string(shown))
	require.Contains(t, string(shown), "refused configuration")
	require.Contains(t, string(shown), "not ready: no configuration is active")
	require.Contains(t, first.log.String(), `"event":"config-refused"`)

	f.store.Put("op/config", typedConfig(4, `"upload"`))
	f.start(second)
	f.awaitReady(f.instances...)
	for _, instance := range f.instances {
		require.Zero(t, f.gauge(instance, "galenaridge_config_refused"))
	}
	f.store.Put("op/config", []byte(`{"version":5,"services":[],"hosts":[{"host":"h.example","paths":[{"name":"read","prefix":"/read/","type":"idempotent","timeout_ms":1500,"service":"one"}]}]}`))
	require.Eventually(t, func() bool {
		return f.gauge(first, "galenaridge_config_refused")+f.gauge(second, "galenaridge_config_refused") >= 1
	}, 3*time.Second, 20*time.Millisecond, "the reader of the store shows the refusal")
	for _, instance := range f.instances {
		require.InDelta(t, 4, f.gauge(instance, "galenaridge_config_version"), 0)
		status, body := f.call(instance.callerAddress, "GET", "/read/x")
		require.Equal(t, 200, status, body)
	}
}

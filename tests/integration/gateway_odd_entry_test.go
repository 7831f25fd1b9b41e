package integration_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oddEntry returns the entry of a server with one field replaced.
func oddEntry(field, value string) string {
	fields := map[string]string{
		"service": `"one"`, "address": `"127.0.0.1:9"`, "zone": `"a"`, "version": `"v1"`, "capacity": "4",
		"state": `"ready"`, "warmup_left_ms": "0", "sequence": "1", "born": "1",
	}
	fields[field] = value
	var parts []string
	for name, text := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, text))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// TestGatewayOddEntries guards against instances that end, or that no longer follow the
// store or each other, because another writer left an odd entry among the servers.
func TestGatewayOddEntries(t *testing.T) {
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	tests := []struct{ name, key, value string }{
		{"deeply nested", "odd", nested},
		{"a deeply nested field", "odd", oddEntry("more", nested)},
		{"nested within the limit of the parser", "odd", oddEntry("more", strings.Repeat("[", 9000)+strings.Repeat("]", 9000))},
		{"a capacity beyond integers", "odd", oddEntry("capacity", "1e400")},
		{"a huge capacity", "odd", oddEntry("capacity", "9223372036854775807")},
		{"a warm-up beyond all times", "odd", oddEntry("warmup_left_ms", "1e300")},
		{"a warm-up that is no number", "odd", oddEntry("warmup_left_ms", "1e400")},
		{"a start beyond integers", "odd", oddEntry("born", "1e30")},
		{"a port out of range", "odd", oddEntry("address", `"127.0.0.1:70000"`)},
		{"port zero", "odd", oddEntry("address", `"127.0.0.1:0"`)},
		{"a negative port", "odd", oddEntry("address", `"127.0.0.1:-1"`)},
		{"an address with a zone", "odd", oddEntry("address", `"[fe80::1%25eth0]:80"`)},
		{"a line break in the id", "odd\r\nX-More: 1", oddEntry("more", "1")},
		{"not text", "odd", "\xff\xfe\x00"},
	}
	f := newGatewayFleet(t, 4)
	f.startServers("one", "i-1", "i-2")
	f.putConfig(3, "one")
	for _, instance := range f.instances {
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f.store.Put("servers/"+test.key, []byte(test.value))
			version := 4 + i
			f.putConfig(version, "one")
			f.startServers("one", fmt.Sprintf("new-%d", i))
			servers := 3 + i
			for _, instance := range f.instances {
				require.Eventually(t, func() bool {
					return f.gauge(instance, "galenaridge_config_version") >= float64(version) && f.gauge(instance, "galenaridge_servers") >= float64(servers)
				}, 2500*time.Millisecond, 20*time.Millisecond, "%s does not follow", instance.name)
				require.NoError(t, instance.command.Process.Signal(syscall.Signal(0)), "%s has ended", instance.name)
				status, body := f.call(instance.callerAddress, "GET", "/read/x")
				require.Equal(t, 200, status, body)
			}
			// An instance that starts gets the complete listing.
			restarted := f.instances[i%len(f.instances)]
			require.NoError(t, restarted.command.Process.Kill())
			_ = restarted.command.Wait()
			f.start(restarted)
			f.awaitReady(restarted)
			f.store.Delete("servers/" + test.key)
		})
	}
}

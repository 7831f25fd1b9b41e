package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/io/gateway"
	"galenaridge/io/setting"
	"galenaridge/platform"
	"galenaridge/standin/store"
	"galenaridge/standin/throttle"
)

// applyBound is the time within which a change that the store has acknowledged must be
// in force on all instances.
const applyBound = 2500 * time.Millisecond

// eventLog collects the log lines of several instances.
type eventLog struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer. Each call has one or several whole lines.
func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, bytes.Split(bytes.Clone(p), []byte("\n"))...)
	return len(p), nil
}

// instances returns the names of the instances that logged a matching line.
func (l *eventLog) instances(match func(line logLine) bool) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]bool)
	for _, text := range l.lines {
		var line logLine
		if json.Unmarshal(text, &line) == nil && match(line) {
			found[line.Instance] = true
		}
	}
	return found
}

type logLine struct {
	Instance string `json:"instance"`
	Event    string `json:"event"`
	Version  int    `json:"version"`
	Era      int    `json:"era"`
	Revision int    `json:"revision"`
	Server   string `json:"server"`
	State    string `json:"state"`
}

func configInForce(version int) func(logLine) bool {
	return func(l logLine) bool { return l.Event == "config-in-force" && l.Version == version }
}

func serverLeaving(id string) func(logLine) bool {
	return func(l logLine) bool { return l.Event == "server-changed" && l.Server == id && l.State == "leaving" }
}

// throttledFleet is a failure domain of instances in this process. The link of each
// instance limits what it sends to other instances.
type throttledFleet struct {
	store *store.Store
	log   *eventLog
}

func startThrottledFleet(t testing.TB, instances int, bandwidth throttle.Mbps) *throttledFleet {
	t.Helper()
	started, err := store.Listen()
	require.NoError(t, err)
	t.Cleanup(started.Close)
	f := &throttledFleet{store: started, log: &eventLog{}}
	putRoutes(f.store, 3, 10)
	f.store.Put("servers/i-1", serverEntry("ready"))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	port := freePort(t)
	addressOf := func(i, offset int) fleet.Address {
		return fleet.Address(fmt.Sprintf("127.0.7.%d:%d", i+1, port+offset))
	}
	for i := range instances {
		process, err := gateway.New(gateway.Options{
			Settings: setting.Gateway{
				ID: fleet.InstanceID(fmt.Sprintf("a-%d", i)), Domain: "a",
				Listen:       setting.GatewayListen{Caller: addressOf(i, 0), Peer: addressOf(i, 1)},
				Seeds:        []fleet.Address{addressOf(0, 1)},
				StoreAddress: fleet.Address(f.store.Address()),
				Bounds:       setting.Bounds{GracePeriod: time.Second, AssignmentTTL: time.Second, RetryWindow: time.Second},
				Capacity:     setting.Capacity{Cores: 1, LinkMbps: float64(bandwidth)},
			},
			Adapter:   platform.Adapter{},
			Clock:     clockwork.NewRealClock(),
			LogOutput: f.log,
			LogLevel:  logrus.ErrorLevel,
			Listen: func(network, address string) (net.Listener, error) {
				listener, err := net.Listen(network, address)
				if err != nil || address != string(addressOf(i, 1)) {
					return listener, err
				}
				return throttle.New(listener, bandwidth, clockwork.NewRealClock()), nil
			},
		})
		require.NoError(t, err)
		running.Add(1)
		go func() {
			defer running.Done()
			_ = process.Run(ctx)
		}()
	}
	require.Eventually(t, func() bool { return len(f.log.instances(configInForce(3))) == instances }, 10*time.Second, 10*time.Millisecond)
	// The instances take their roles.
	time.Sleep(time.Second)
	return f
}

func freePort(t testing.TB) int {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return min(listener.Addr().(*net.TCPAddr).Port, 65_000)
}

func serverEntry(state string) []byte {
	return fmt.Appendf(nil, `{"service":"one","address":"127.0.0.1:9","zone":"a","version":"v1","capacity":4,"state":%q,"warmup_left_ms":0,"sequence":1,"born":1}`, state)
}

// putRoutes writes a configuration with a number of routes.
func putRoutes(s *store.Store, version, routes int) {
	paths := make([]string, 0, routes)
	for i := range routes {
		paths = append(paths, fmt.Sprintf(`{"name":"r-%08x","prefix":"/%x/","type":"idempotent","timeout_ms":1500,"target_latency_ms":1200,"priority":2,"service":"one","max_attempts":2}`, i*2654435761, i*40503))
	}
	s.Put("op/config", fmt.Appendf(nil, `{"version":%d,"services":[{"name":"one","health_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":5000},"hosts":[{"host":"h.example","paths":[%s]}]}`, version, strings.Join(paths, ",")))
}

// TestLargeConfigurationOverSlowLinks guards against instances that stay on an old
// configuration, and keep using a server that leaves, because a large configuration does
// not reach them in the time of one fetch.
func TestLargeConfigurationOverSlowLinks(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		bandwidth throttle.Mbps
		routes    int
	}{
		{"one of them may send to many at once", 12, 10, 1400},
		{"slower than the limit of one fetch", 3, 4, 3700},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startThrottledFleet(t, test.instances, test.bandwidth)
			acknowledged := time.Now()
			putRoutes(f.store, 4, test.routes)
			time.Sleep(100 * time.Millisecond)
			f.store.Put("servers/i-1", serverEntry("draining"))
			time.Sleep(time.Until(acknowledged.Add(applyBound)))
			require.Len(t, f.log.instances(configInForce(4)), test.instances, "instances with the new configuration")
			require.Len(t, f.log.instances(serverLeaving("i-1")), test.instances, "instances that know that the server leaves")
		})
	}
}

// BenchmarkConfigInForce measures the time until the last instance of a failure domain has
// a configuration in force. All instances share the processors of this machine.
func BenchmarkConfigInForce(b *testing.B) {
	benches := []struct {
		instances int
		bandwidth throttle.Mbps
		routes    int
	}{
		{12, 10, 1400},
		{40, 200, 3700},
		{40, 10, 3700},
	}
	for _, bench := range benches {
		b.Run(fmt.Sprintf("instances=%d/mbps=%v/routes=%d", bench.instances, bench.bandwidth, bench.routes), func(b *testing.B) {
			f := startThrottledFleet(b, bench.instances, bench.bandwidth)
			version := 3
			for b.Loop() {
				version++
				putRoutes(f.store, version, bench.routes)
				for len(f.log.instances(configInForce(version))) < bench.instances {
					time.Sleep(2 * time.Millisecond)
				}
				b.StopTimer()
				// The fleet is idle again.
				time.Sleep(2 * time.Second)
				b.StartTimer()
			}
		})
	}
}

package integration_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
)

// addBounds adds bounds to the settings of all instances.
func (f *gatewayFleet) addBounds(bounds ...string) {
	f.t.Helper()
	for _, instance := range f.instances {
		text, err := os.ReadFile(instance.settingsPath)
		require.NoError(f.t, err)
		quoted := ""
		for _, bound := range bounds {
			quoted += fmt.Sprintf(", %q", bound)
		}
		changed := strings.Replace(string(text), `"ttl_max_s=5"`, `"ttl_max_s=5"`+quoted, 1)
		require.NoError(f.t, os.WriteFile(instance.settingsPath, []byte(changed), 0o600))
	}
}

// quotaCaller sends the requests of a customer to all instances in turn.
type quotaCaller struct {
	fleet    *gatewayFleet
	key      string
	sent     atomic.Int64
	admitted atomic.Int64
	refused  atomic.Int64
	// unready counts the refusals by instances that know no other one.
	unready atomic.Int64
	// wrong counts refusals without a delay or with another code.
	wrong atomic.Int64
}

// run sends a number of requests a second until the context ends.
func (c *quotaCaller) run(ctx context.Context, wait *sync.WaitGroup, ratePerSecond int) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	ticker := time.NewTicker(time.Second / time.Duration(ratePerSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		instance := c.fleet.instances[n%len(c.fleet.instances)]
		wait.Go(func() { c.call(client, instance) })
	}
}

func (c *quotaCaller) call(client *http.Client, instance *gatewayInstance) {
	request, err := http.NewRequest(http.MethodPost, "http://"+instance.callerAddress+"/write/x", strings.NewReader("body"))
	if err != nil {
		return
	}
	request.Host = "h.example"
	request.Header.Set("Galenaridge-Request-Id", fmt.Sprintf("q%d", c.fleet.lastRequestID.Add(1)))
	request.Header.Set("Galenaridge-Deadline-Ms", "1000")
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := client.Do(request)
	if err != nil {
		// The instance was killed.
		return
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.sent.Add(1)
	switch response.StatusCode {
	case http.StatusOK:
		c.admitted.Add(1)
	case http.StatusTooManyRequests:
		c.refused.Add(1)
		delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || delay <= 0 || delay > 10 || !strings.Contains(string(body), `"quota_exceeded"`) {
			c.wrong.Add(1)
		}
	case http.StatusServiceUnavailable:
		if !strings.Contains(string(body), "has not heard from others") {
			return
		}
		c.unready.Add(1)
		delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || delay <= 0 || delay > 1 || !strings.Contains(string(body), `"not_ready"`) {
			c.wrong.Add(1)
		}
	}
}

// largestWindow returns the largest number of requests of a customer that servers ran in any
// window.
func largestWindow(servers []*backend.Server, customer string, window time.Duration) (largest int, endsAt time.Time) {
	var times []time.Time
	for _, request := range executed(servers) {
		if request.Header.Get("Galenaridge-Tenant") == customer {
			times = append(times, request.ReadAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		if i+1-first > largest {
			largest, endsAt = i+1-first, at
		}
	}
	return largest, endsAt
}

// TestGatewayQuotas guards, in the real program, against servers that run more requests of a
// customer than its quota, overage and tolerance allow, while it sends four times its rate
// through all instances, one of them is killed and another one restarted and the store is
// unreachable. Customers below their quota must not be refused meanwhile.
func TestGatewayQuotas(t *testing.T) {
	f := newGatewayFleet(t, 6)
	f.addBounds("quota_window_s=5", "quota_overage=0.25", "quota_tolerance=20")
	servers := f.startServers("one", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	f.store.Put("op/config", customersConfig(3, `[{"name":"large","api_keys":["`+firstKey+`"],"rate_per_s":30,"burst":30},{"name":"usual","api_keys":["`+secondKey+`"],"rate_per_s":20,"burst":20}]`))
	for _, instance := range f.instances {
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	f.awaitVersion(3, f.instances...)
	time.Sleep(2 * time.Second)

	ctx, cancel := context.WithCancel(t.Context())
	startedAt := time.Now()
	var callers, requests sync.WaitGroup
	large, usual := &quotaCaller{fleet: f, key: firstKey}, &quotaCaller{fleet: f, key: secondKey}
	callers.Go(func() { large.run(ctx, &requests, 120) })
	callers.Go(func() { usual.run(ctx, &requests, 10) })
	time.Sleep(6 * time.Second)
	calm := usual.refused.Load()
	require.NoError(t, f.instances[1].command.Process.Kill())
	time.Sleep(time.Second)
	require.NoError(t, f.instances[2].command.Process.Kill())
	_ = f.instances[2].command.Wait()
	f.start(f.instances[2])
	time.Sleep(6 * time.Second)
	cancel()
	callers.Wait()
	requests.Wait()

	const limit = 30*5 + 30
	ran, at := largestWindow(servers, "large", 5*time.Second)
	t.Logf("large: sent %d, admitted %d, refused %d, largest window %d of %.0f, %v after the start", large.sent.Load(), large.admitted.Load(), large.refused.Load(), ran, limit*1.25+20, at.Sub(startedAt))
	t.Logf("usual: sent %d, admitted %d, refused %d, %d of them before an instance was killed", usual.sent.Load(), usual.admitted.Load(), usual.refused.Load(), calm)
	require.LessOrEqual(t, float64(ran), limit*1.25+20, "more than the quota ran")
	require.Greater(t, ran, limit/2, "the quota was used")
	require.Positive(t, large.refused.Load())
	require.Zero(t, large.wrong.Load()+usual.wrong.Load(), "refusals without code or delay")
	require.Zero(t, calm, "a customer below its quota was refused")
}

// replaceSeeds writes other seeds to the settings of all instances. No signal announces them.
func (f *gatewayFleet) replaceSeeds(old, replacement string) {
	f.t.Helper()
	for _, instance := range f.instances {
		text, err := os.ReadFile(instance.settingsPath)
		require.NoError(f.t, err)
		require.Contains(f.t, string(text), old)
		require.NoError(f.t, os.WriteFile(instance.settingsPath, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
	}
}

// TestGatewayLostSeeds guards, in the real program, against instances that each admit the whole
// quota of a customer because they start while their seeds are lost, and against instances that
// go on refusing when the settings name other seeds.
func TestGatewayLostSeeds(t *testing.T) {
	f := newGatewayFleet(t, 6)
	f.addBounds("quota_window_s=5", "quota_overage=0.25", "quota_tolerance=20")
	host, port, err := net.SplitHostPort(f.instances[0].callerAddress)
	require.NoError(t, err)
	basePort, err := strconv.Atoi(port)
	require.NoError(t, err)
	seed := fmt.Sprintf("seeds: [%q]", fmt.Sprintf("%s:%d", host, basePort+3))
	lost := fmt.Sprintf("seeds: [%q]", fmt.Sprintf("127.0.9.9:%d", basePort+3))
	f.replaceSeeds(seed, lost)
	servers := f.startServers("one", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	f.store.Put("op/config", customersConfig(3, `[{"name":"large","api_keys":["`+firstKey+`"],"rate_per_s":30,"burst":30}]`))
	for _, instance := range f.instances {
		f.start(instance)
	}
	f.awaitReady(f.instances...)
	ctx, cancel := context.WithCancel(t.Context())
	var callers, requests sync.WaitGroup
	large := &quotaCaller{fleet: f, key: firstKey}
	callers.Go(func() { large.run(ctx, &requests, 120) })
	time.Sleep(2 * time.Second)
	f.replaceSeeds(lost, seed)
	time.Sleep(2500 * time.Millisecond)
	refusedBefore, admittedBefore := large.unready.Load(), large.admitted.Load()
	time.Sleep(3 * time.Second)
	cancel()
	callers.Wait()
	requests.Wait()

	const limit = 30*5 + 30
	ran, _ := largestWindow(servers, "large", 5*time.Second)
	t.Logf("sent %d, admitted %d, refused %d by the quota and %d without contact, largest window %d of %.0f",
		large.sent.Load(), large.admitted.Load(), large.refused.Load(), large.unready.Load(), ran, limit*1.25+20)
	require.LessOrEqual(t, float64(ran), limit*1.25+20, "more than the quota ran")
	require.Positive(t, refusedBefore, "instances without contact admit nothing that others may admit as well")
	require.Equal(t, refusedBefore, large.unready.Load(), "all instances are in contact 2.5 s after the settings name other seeds")
	require.Greater(t, large.admitted.Load()-admittedBefore, int64(30), "the quota is used again")
	require.Zero(t, large.wrong.Load(), "refusals without code or delay")
}

// TestGatewayColdStart guards, in the real program, against refusals of a customer at half of its
// limit after all instances started again within 0.3 s, other than those by instances that start
// before the seed.
func TestGatewayColdStart(t *testing.T) {
	tests := []struct {
		name string
		// order holds the indexes of the instances in the order of their starts. The first
		// instance is the only seed.
		order []int
	}{
		{"the seed starts first", []int{0, 4, 2, 5, 1, 3}},
		{"the seed starts third", []int{3, 1, 0, 5, 4, 2}},
		{"the seed starts last", []int{2, 5, 3, 1, 4, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFleet(t, 6)
			f.addBounds("quota_window_s=5", "quota_overage=0.25", "quota_tolerance=20")
			f.startServers("one", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
			f.store.Put("op/config", customersConfig(3, `[{"name":"large","api_keys":["`+firstKey+`"],"rate_per_s":120,"burst":120}]`))
			ctx, cancel := context.WithCancel(t.Context())
			var callers, requests sync.WaitGroup
			large := &quotaCaller{fleet: f, key: firstKey}
			callers.Go(func() { large.run(ctx, &requests, 60) })
			for _, index := range test.order {
				f.start(f.instances[index])
				time.Sleep(300 * time.Millisecond / time.Duration(len(test.order)-1))
			}
			f.awaitReady(f.instances...)
			time.Sleep(500 * time.Millisecond)
			early := large.unready.Load()
			time.Sleep(5 * time.Second)
			cancel()
			callers.Wait()
			requests.Wait()

			t.Logf("sent %d, admitted %d, refused %d by the quota and %d without contact", large.sent.Load(), large.admitted.Load(), large.refused.Load(), large.unready.Load())
			require.Equal(t, early, large.unready.Load(), "all are in contact 0.5 s after they are ready")
			require.Zero(t, large.refused.Load(), "refused by the quota")
			require.Zero(t, large.wrong.Load(), "refusals without code or delay")
		})
	}
}

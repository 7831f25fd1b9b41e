package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
)

// slowConfig returns a configuration whose only route permits requests to take longer than
// the grace period.
func slowConfig(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"one"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":400000,"header_timeout_ms":3000,"idle_timeout_ms":5000},
"hosts":[{"host":"h.example","paths":[
{"name":"write","prefix":"/write/","type":"upload","timeout_ms":12000,"target_latency_ms":1500,"priority":0,"service":"one","max_attempts":2}]}]}`, version)
}

// TestGatewayLateRequests guards against requests that arrive late in a planned stop, are
// sent to a server, and are cut without a response when the process ends: each is refused
// at once, and no server sees it.
func TestGatewayLateRequests(t *testing.T) {
	f := newGatewayFleet(t, 1)
	server, err := backend.Listen("i-1", time.Millisecond)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	server.SetFault(backend.Stall)
	f.store.Put("servers/i-1", server.Entry("one", "a", "ready"))
	f.store.Put("op/config", slowConfig(3))
	instance := f.instances[0]
	f.start(instance)
	f.awaitReady(instance)
	require.NoError(t, instance.command.Process.Signal(syscall.SIGTERM))
	stopped := time.Now()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func(id string) (status int, body string) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.callerAddress+"/write/x", strings.NewReader(strings.Repeat("x", 60_000)))
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set("Galenaridge-Request-Id", id)
		request.Header.Set("Galenaridge-Deadline-Ms", "12000")
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		content, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(content)
	}
	// A request of a caller that has not learned of the stop yet keeps the process busy.
	var early sync.WaitGroup
	early.Add(1)
	go func() {
		defer early.Done()
		call("early")
	}()
	for at := 3500 * time.Millisecond; at < 5*time.Second; at += 250 * time.Millisecond {
		time.Sleep(time.Until(stopped.Add(at)))
		id := fmt.Sprintf("late-%d", at.Milliseconds())
		status, body := call(id)
		require.Equal(t, 503, status, "%s: %s", id, body)
		require.Contains(t, body, `"outcome":"not-run"`)
	}
	early.Wait()
	require.NoError(t, instance.command.Wait())
	for _, run := range server.ExecutedRequests() {
		require.Equal(t, "early", run.ID, "a late request was sent to the server")
	}
}

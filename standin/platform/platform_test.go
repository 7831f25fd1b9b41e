package platform_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/fleet"
	"galenaridge/standin/platform"
)

// TestMain ignores connections that sent too large a body: net/http keeps them
// open for half a second after the server is closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

type fixture struct {
	t        *testing.T
	platform *platform.Platform
	client   *http.Client
}

func startPlatform(t *testing.T) fixture {
	t.Helper()
	p, err := platform.Start(platform.Options{ReaderAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0"}, clockwork.NewRealClock())
	require.NoError(t, err)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		p.Close()
	})
	return fixture{t, p, &http.Client{Transport: transport}}
}

// sendChange sends a request to the operator listener and returns the status.
func (f fixture) sendChange(method, path, body string) int {
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+string(f.platform.OperatorAddress())+path, bytes.NewBufferString(body))
	require.NoError(f.t, err)
	resp, err := f.client.Do(r)
	require.NoError(f.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// read sends a request to the reader listener and returns the status, the revision
// and the body. The status is 0 if the connection was closed without a response.
func (f fixture) read(path string) (int, string, string) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+string(f.platform.ReaderAddress())+path, http.NoBody)
	require.NoError(f.t, err)
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, resp.Header.Get(platform.HeaderRevision), string(body)
}

type change struct{ method, path, body string }

// TestReaders guards against readers that get a value which does not fit the
// fault. Experiments with a stale or lagging platform would then be meaningless.
func TestReaders(t *testing.T) {
	first := change{"PUT", "/v1/config", "version: 1"}
	second := change{"PUT", "/v1/config", "version: 2"}
	server := change{"PUT", "/v1/list/server", `{"id":"s1","service":"a","domain":"d","address":"127.0.0.1:1","presence":"live"}`}
	tests := []struct {
		name     string
		changes  []change
		path     string
		status   int
		revision string
		body     string
	}{
		{"no config yet", nil, "/v1/config", 404, "", ""},
		{"current config", []change{first, second}, "/v1/config", 200, "2", "version: 2"},
		{"watch that is behind", []change{first, second}, "/v1/config?after=1&wait=20s", 200, "2", "version: 2"},
		{"watch that is current", []change{first}, "/v1/config?after=1&wait=10ms", 304, "1", ""},
		{"bad wait", nil, "/v1/config?after=1&wait=900s", 400, "", "bad query\n"},
		{"bad revision", nil, "/v1/config?after=x", 400, "", "bad query\n"},
		{"stale", []change{first, {"POST", "/fault", `{"mode":"stale"}`}, second}, "/v1/config", 200, "1", "version: 1"},
		{"stale ends", []change{first, {"POST", "/fault", `{"mode":"stale"}`}, second, {"POST", "/fault", `{}`}}, "/v1/config", 200, "2", "version: 2"},
		{"older revision", []change{first, second, {"POST", "/fault", `{"config_revision":1}`}}, "/v1/config", 200, "1", "version: 1"},
		{"down", []change{first, {"POST", "/fault", `{"mode":"down"}`}}, "/v1/config", 0, "", ""},
		{"empty list", nil, "/v1/list", 200, "1", `{"revision":1,"instances":null,"servers":null}`},
		{"one server", []change{server}, "/v1/list", 200, "2", `{"revision":2,"instances":null,"servers":[{"id":"s1","service":"a","domain":"d","address":"127.0.0.1:1","presence":"live"}]}`},
		{"server twice", []change{server, server, {"DELETE", "/v1/list/server/s1", ""}}, "/v1/list", 200, "4", `{"revision":4,"instances":null,"servers":[]}`},
		{"list lags", []change{{"POST", "/fault", `{"list_lag":"1h"}`}, server}, "/v1/list", 200, "1", `{"revision":1,"instances":null,"servers":null}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startPlatform(t)
			for _, c := range test.changes {
				require.Equal(t, http.StatusNoContent, f.sendChange(c.method, c.path, c.body))
			}
			status, revision, body := f.read(test.path)
			assert.Equal(t, test.status, status)
			assert.Equal(t, test.revision, revision)
			assert.Equal(t, test.body, body)
		})
	}
}

// TestPendingWatch guards against a pending watch that does not end when its value
// changes.
func TestPendingWatch(t *testing.T) {
	tests := []struct {
		name         string
		initialFault string
		change       change
		path         string
		status       int
		atLeast      time.Duration
	}{
		{"config", `{}`, change{"PUT", "/v1/config", "version: 1"}, "/v1/config?after=0", 200, 0},
		{"instance", `{}`, change{"PUT", "/v1/list/instance", `{"id":"i1","presence":"leaving"}`}, "/v1/list?after=1", 200, 0},
		{"lagging list", `{"list_lag":"100ms"}`, change{"PUT", "/v1/list", `{}`}, "/v1/list?after=1", 200, 100 * time.Millisecond},
		{"down ends it", `{}`, change{"POST", "/fault", `{"mode":"down"}`}, "/v1/config?after=0", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startPlatform(t)
			require.Equal(t, http.StatusNoContent, f.sendChange("POST", "/fault", test.initialFault))
			status := make(chan int, 1)
			go func() {
				got, _, _ := f.read(test.path)
				status <- got
			}()
			require.Eventually(t, func() bool { return f.platform.Stats().Pending == 1 }, 2*time.Second, time.Millisecond)
			changedAt := time.Now()
			require.Equal(t, http.StatusNoContent, f.sendChange(test.change.method, test.change.path, test.change.body))
			select {
			case got := <-status:
				assert.Equal(t, test.status, got)
			case <-time.After(5 * time.Second):
				t.Fatal("the watch did not end")
			}
			assert.GreaterOrEqual(t, time.Since(changedAt), test.atLeast)
		})
	}
}

// TestOperatorRefusals guards against a change that is accepted although readers
// cannot decode it.
func TestOperatorRefusals(t *testing.T) {
	tests := []struct {
		name   string
		change change
		status int
	}{
		{"largest config", change{"PUT", "/v1/config", string(make([]byte, 1<<20))}, 204},
		{"too large", change{"PUT", "/v1/config", string(make([]byte, 1<<20+1))}, 413},
		{"unknown presence", change{"PUT", "/v1/list/server", `{"id":"s","presence":"gone"}`}, 400},
		{"unknown mode", change{"POST", "/fault", `{"mode":"odd"}`}, 400},
		{"unknown field", change{"POST", "/fault", `{"lag":"1s"}`}, 400},
	}
	f := startPlatform(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.status, f.sendChange(test.change.method, test.change.path, test.change.body))
		})
	}
	var listing fleet.Listing
	_, _, body := f.read("/v1/list")
	require.NoError(t, json.Unmarshal([]byte(body), &listing))
}

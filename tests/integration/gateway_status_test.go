package integration_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/backend"
)

// TestGatewayStatusOfServer guards against a 503 of a server that ran a request which must not
// run twice: callers take it for the promise that the request has not run.
func TestGatewayStatusOfServer(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		status int
		signed bool
		// body is the beginning of the body.
		body string
	}{
		{"not idempotent", http.MethodPost, "/write/x", http.StatusBadGateway, false, `{"code":"upstream_failed","outcome":"unknown"`},
		{"idempotent", http.MethodGet, "/read/x", http.StatusServiceUnavailable, true, "oops"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGatewayFleet(t, 1)
			server := f.startServers("one", "i-1")[0]
			f.putConfig(3, "one")
			f.start(f.instances[0])
			f.awaitReady(f.instances...)
			server.SetFault(backend.OwnUnavailable)
			request, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+f.instances[0].callerAddress+test.path, strings.NewReader("body"))
			require.NoError(t, err)
			request.Host = "h.example"
			request.Header.Set("Galenaridge-Request-Id", "r1")
			request.Header.Set("Galenaridge-Deadline-Ms", "1000")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, string(body))
			require.True(t, strings.HasPrefix(string(body), test.body), string(body))
			require.Equal(t, test.signed, response.Header.Get("Galenaridge-Server-Signature") != "")
			require.Equal(t, test.signed, response.Header.Get("Retry-After") != "")
			require.Len(t, server.ExecutedRequests(), 1)
		})
	}
}

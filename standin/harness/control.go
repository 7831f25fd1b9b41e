package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

const (
	// controlTimeout bounds one control request.
	controlTimeout = 5 * time.Second
	// pollInterval is the time between two checks of a starting process.
	pollInterval = 5 * time.Millisecond
)

// control sends requests to the control and operator listeners of the started
// processes. It uses net/http because a fasthttp client keeps goroutines for a
// while after its last request, which the leak checks of the tests would report.
type control struct{ httpClient *http.Client }

func newControl() control {
	// Each request has its own connection, since net/http retries a GET by
	// itself if a reused connection was closed.
	return control{&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// statusError reports a response whose status is not 2xx.
type statusError struct {
	status int
	body   string
}

// Error returns the status text and the response body.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.body
}

// notFound reports whether an error is a response with status 404.
func notFound(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status == http.StatusNotFound
}

// request sends a request and returns the response body. It fails if the status
// is not 2xx.
func (c control) request(ctx context.Context, method string, address fleet.Address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create a control request")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s at %s", method, path, address)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s at %s", method, path, address)
	}
	if response.StatusCode/100 != 2 {
		return nil, eris.Wrapf(&statusError{response.StatusCode, string(text)}, "%s %s at %s", method, path, address)
	}
	return text, nil
}

// sendJSON sends a request with the value as its JSON body.
func (c control) sendJSON(ctx context.Context, method string, address fleet.Address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode a control request")
	}
	_, err = c.request(ctx, method, address, path, body)
	return err
}

// getJSON reads a JSON response into value.
func (c control) getJSON(ctx context.Context, address fleet.Address, path string, value any) error {
	body, err := c.request(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, value), "decode %s of %s", path, address)
}

// waitListening waits until a process accepts connections at an address.
func waitListening(ctx context.Context, started *process, address fleet.Address) error {
	return poll(ctx, started, func() bool {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// poll calls ready until it returns true. It fails if the process exits or the
// context ends.
func poll(ctx context.Context, started *process, ready func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-ticker.C:
		case <-started.exited:
			return eris.Errorf("%s exited: %v; see %s", started.name, started.exitError, started.logFile)
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s is not ready; see %s", started.name, started.logFile)
		}
	}
	return nil
}

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
	// pollInterval is how often a starting process is asked.
	pollInterval = 5 * time.Millisecond
)

// control sends requests to the control listeners of the parts. It uses
// net/http, since a fasthttp client leaves goroutines behind for a while after
// its last request, which the leak checks of tests would report.
type control struct{ client *http.Client }

func newControl() control {
	// A connection for each request: net/http repeats a GET by itself when a
	// kept connection was closed.
	return control{&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// statusError is an answer with an unexpected status.
type statusError struct {
	status int
	text   string
}

// Error returns the status and the body.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.text
}

// notFound reports whether an error is an answer with status 404.
func notFound(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.status == http.StatusNotFound
}

// do sends a request and returns the body of an answer with a status of 2xx.
func (c control) do(ctx context.Context, method string, address fleet.Address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make a control request")
	}
	response, err := c.client.Do(request)
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

// send sends a value as JSON.
func (c control) send(ctx context.Context, method string, address fleet.Address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode a control request")
	}
	_, err = c.do(ctx, method, address, path, body)
	return err
}

// get reads a value as JSON.
func (c control) get(ctx context.Context, address fleet.Address, path string, value any) error {
	body, err := c.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, value), "decode %s of %s", path, address)
}

// awaitListen waits until a process listens at an address.
func awaitListen(ctx context.Context, p *process, address fleet.Address) error {
	return poll(ctx, p, func() bool {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// poll asks until the answer is yes. It fails if the process exits or the
// context ends.
func poll(ctx context.Context, p *process, ask func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ask() {
		select {
		case <-ticker.C:
		case <-p.ended:
			return eris.Errorf("%s exited: %v; see %s", p.name, p.failure, p.logFile)
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s does not answer; see %s", p.name, p.logFile)
		}
	}
	return nil
}

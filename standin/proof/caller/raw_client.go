package caller

import (
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Headers of the protocol between callers and instances.
const (
	headerToken    = "Galenaridge-Token"
	headerKey      = "Galenaridge-Key"
	headerCustomer = "Galenaridge-Tenant"
	headerDeadline = "Galenaridge-Deadline"
	headerOutcome  = "Galenaridge-Outcome"
	headerMove     = "Galenaridge-Move"
)

const (
	dialTimeout     = time.Second
	assignTimeout   = time.Second
	maxConnsPerHost = 2048
	// idleTimeout is how long an unused connection stays open. fasthttp does
	// not detect that an instance closed a connection, and would use it for a
	// later request to the replacement of that instance. The timeout is below
	// the 500 ms between the end of assignments to an instance and the closing
	// of its connections.
	idleTimeout = 250 * time.Millisecond
)

// connectError is a failure to connect. The request was not sent.
type connectError struct{ err error }

// Error returns the reason for the failure.
func (e *connectError) Error() string { return "no connection: " + e.err.Error() }

// isConnectError reports whether an error proves that the request was not sent.
func isConnectError(err error) bool {
	var target *connectError
	return errors.As(err, &target)
}

// RawClient sends requests by the protocol for callers, but without the rules
// of package client, so that callers can break them. It is safe for concurrent
// use.
type RawClient struct{ http *fasthttp.Client }

// NewRawClient returns a client. For an address that is a key of dialAddresses,
// it dials the address in the map instead.
func NewRawClient(dialAddresses map[fleet.Address]fleet.Address) *RawClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &RawClient{&fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			if dialed, ok := dialAddresses[fleet.Address(address)]; ok {
				address = string(dialed)
			}
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, &connectError{err}
			}
			return conn, nil
		},
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Close closes idle connections.
func (c *RawClient) Close() { c.http.CloseIdleConnections() }

// assignment is the response to an assignment request. Addresses starts with
// the home, which issued the token for protected requests.
type assignment struct {
	Addresses []struct {
		Address fleet.Address `json:"address"`
	} `json:"addresses"`
	TTLMillis int64  `json:"ttl_ms"`
	Token     string `json:"token"`
	expiresAt time.Time
}

// homeAddress returns the address of the instance that issued the token.
func (a *assignment) homeAddress() fleet.Address { return a.Addresses[0].Address }

// requestAssignment requests an assignment for a service from one instance.
func (c *RawClient) requestAssignment(entry fleet.Address, service fleet.ServiceName, domain fleet.Domain) (*assignment, error) {
	query := url.Values{"service": {string(service)}, "domain": {string(domain)}}
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + string(entry) + "/-/assign?" + query.Encode())
	requestedAt := time.Now()
	if err := c.http.DoTimeout(&request, &response, assignTimeout); err != nil {
		return nil, eris.Wrapf(err, "request an assignment from %s", entry)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("%s responded with status %d to the assignment request", entry, response.StatusCode())
	}
	assigned := &assignment{}
	if err := json.Unmarshal(response.Body(), assigned); err != nil {
		return nil, eris.Wrap(err, "decode an assignment")
	}
	if len(assigned.Addresses) == 0 {
		return nil, eris.New("the assignment has no address")
	}
	assigned.expiresAt = requestedAt.Add(time.Duration(assigned.TTLMillis) * time.Millisecond)
	return assigned, nil
}

// send sends a request to one address and returns the result, and whether the
// response requests that the caller moves to another assignment. After an error
// the outcome is unknown, unless isConnectError proves that the request was not
// sent.
func (c *RawClient) send(address fleet.Address, q client.Request, token string, deadline time.Time) (client.Result, bool, error) {
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + string(address) + "/" + string(q.Service) + q.Path)
	request.Header.SetMethod(q.Method)
	for _, h := range q.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	if q.Customer != "" {
		request.Header.Set(headerCustomer, string(q.Customer))
	}
	if token != "" {
		request.Header.Set(headerToken, token)
		request.Header.Set(headerKey, string(q.Key))
	}
	timeLeft := max(time.Until(deadline), time.Millisecond)
	request.Header.Set(headerDeadline, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	request.SetBody(q.Body)
	// A response that is sent at the deadline needs time to arrive.
	err := c.http.DoDeadline(&request, &response, deadline.Add(responseMargin))
	result := client.Result{Key: q.Key, Address: address, SendCount: 1}
	if err != nil {
		result.Code = client.NoAnswer
		return result, false, err
	}
	parseResponse(&response, &result)
	return result, string(response.Header.Peek(headerMove)) == "1", nil
}

// responseMargin is how long a caller waits for the response after the deadline
// of its request.
const responseMargin = 300 * time.Millisecond

// parseResponse copies a response into the result. The outcome stays unknown if
// the response has no valid outcome header.
func parseResponse(response *fasthttp.Response, result *client.Result) {
	result.Status = response.StatusCode()
	result.Body = append([]byte(nil), response.Body()...)
	for name, value := range response.Header.All() {
		result.Headers = append(result.Headers, exchange.Header{Name: string(name), Value: string(value)})
	}
	outcome, err := fleet.OutcomeString(string(response.Header.Peek(headerOutcome)))
	if err != nil {
		return
	}
	result.Outcome = outcome
	var refusal struct {
		Code exchange.Code `json:"code"`
	}
	if outcome != fleet.Done || result.Status == fasthttp.StatusGone {
		_ = json.Unmarshal(result.Body, &refusal)
		result.Code = refusal.Code
	}
}

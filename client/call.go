package client

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Headers of the caller protocol.
const (
	headerToken    = "Galenaridge-Token"
	headerKey      = "Galenaridge-Key"
	headerCustomer = "Galenaridge-Tenant"
	headerDeadline = "Galenaridge-Deadline"
	headerOutcome  = "Galenaridge-Outcome"
	headerMove     = "Galenaridge-Move"
	headerRetry    = "Retry-After"
)

const (
	// responseMargin is subtracted from the deadline sent to instances, so that a
	// response sent at that deadline still arrives in time.
	responseMargin = 50 * time.Millisecond
	// maxMarginDivisor bounds the margin of short deadlines: it is at most the
	// remaining time divided by this.
	maxMarginDivisor = 10
)

// call is the state of one Do: a request and how often it has been sent.
type call struct {
	client   *Client
	request  Request
	deadline time.Time
	// token does not change once the request may have been sent.
	token     string
	sendCount int
}

// run sends the request until its outcome is known, MaxResends is reached, no
// address can be reached, or the time is up.
func (c *call) run(ctx context.Context) (Result, error) {
	var result Result
	var err error
	for {
		sendsBefore := c.sendCount
		result, err = c.send(ctx)
		shouldResend := result.Outcome == fleet.Unknown && c.sendCount <= c.request.MaxResends && c.sendCount > sendsBefore
		if !shouldResend || ctx.Err() != nil || !c.client.options.Clock.Now().Before(c.deadline) {
			break
		}
	}
	result.Key = c.request.Key
	result.SendCount = c.sendCount
	return result, err
}

// send sends the request once. It tries further addresses and assignments as
// long as no connection is made, since nothing is sent without one.
func (c *call) send(ctx context.Context) (Result, error) {
	for range maxAssignments {
		assigned, err := c.client.assignments.get(c.request.Service, c.deadline)
		if err != nil {
			return c.unsentResult(NoAssignment), err
		}
		if c.sendCount == 0 {
			c.token = assigned.token
		}
		result, err, done := c.sendToAssigned(ctx, assigned)
		if done {
			return result, err
		}
		c.client.assignments.drop(c.request.Service, assigned)
	}
	return c.unsentResult(Unreachable), errUnreachable
}

// sendToAssigned tries the addresses of one assignment in order. It returns true
// if the request was sent to one of them, was canceled or ran out of time, and
// false if another assignment should be tried.
func (c *call) sendToAssigned(ctx context.Context, assigned *assignment) (Result, error, bool) {
	homeRefused := false
	for _, address := range c.client.assignments.addressOrder(assigned, c.request.Protected) {
		if err := ctx.Err(); err != nil {
			return c.unsentResult(exchange.Canceled), err, true
		}
		if !c.client.options.Clock.Now().Before(c.deadline) {
			return c.unsentResult(exchange.Expired), context.DeadlineExceeded, true
		}
		if homeRefused && c.sendCount == 0 {
			// Nothing was sent, so a new token can replace this one, whose home
			// instance has stopped.
			return Result{}, nil, false
		}
		result, err := c.sendTo(assigned, address)
		if err != nil && provesUnsent(err) {
			homeRefused = homeRefused || c.request.Protected && connectionRefused(err)
			continue
		}
		return result, err, true
	}
	return Result{}, nil, false
}

// sendTo sends the request to one address and drops the assignment if the
// response or its absence shows that the assignment is outdated.
func (c *call) sendTo(assigned *assignment, address fleet.Address) (Result, error) {
	response, err := c.client.transport.exchange(address, c.buildRequest(), c.deadline)
	if err != nil {
		if provesUnsent(err) {
			return Result{}, err
		}
		c.sendCount++
		c.client.assignments.drop(c.request.Service, assigned)
		return Result{Outcome: fleet.Unknown, Code: NoAnswer, Address: address}, err
	}
	c.sendCount++
	result := parseResponse(response)
	result.Address = address
	if string(response.Header.Peek(headerMove)) == "1" {
		c.client.assignments.dropAddress(address)
	}
	if needsNewAssignment(result.Code) {
		c.client.assignments.drop(c.request.Service, assigned)
	}
	return result, nil
}

// needsNewAssignment reports whether a request with another assignment or token
// may succeed where this one was refused.
func needsNewAssignment(code exchange.Code) bool {
	switch code {
	case exchange.TokenInvalid, exchange.TokenExpired, exchange.HomeLost, exchange.Stopping, exchange.NotReady:
		return true
	default:
		return false
	}
}

// unsentResult returns the result after an attempt that sent nothing. The outcome
// is NotRun only if no earlier attempt sent the request either.
func (c *call) unsentResult(code exchange.Code) Result {
	if c.sendCount > 0 {
		return Result{Outcome: fleet.Unknown, Code: code}
	}
	return Result{Outcome: fleet.NotRun, Code: code}
}

// buildRequest returns the HTTP request, with the time left as its deadline
// header.
func (c *call) buildRequest() *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(c.request.Method)
	request.SetRequestURI("/" + string(c.request.Service) + c.request.Path)
	for _, h := range c.request.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	if c.request.Customer != "" {
		request.Header.Set(headerCustomer, string(c.request.Customer))
	}
	if c.request.Protected {
		request.Header.Set(headerToken, c.token)
		request.Header.Set(headerKey, string(c.request.Key))
	}
	timeLeft := c.deadline.Sub(c.client.options.Clock.Now())
	timeLeft -= min(responseMargin, timeLeft/maxMarginDivisor)
	request.Header.Set(headerDeadline, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	request.SetBody(c.request.Body)
	return request
}

// refusalBody is the body of a response made by an instance instead of a server.
type refusalBody struct {
	Code        exchange.Code `json:"code"`
	AfterMillis int64         `json:"after_ms"`
	Message     string        `json:"message"`
}

// parseResponse converts a response into a Result. A response without a valid
// outcome header violates the caller protocol, so its outcome is Unknown.
func parseResponse(response *fasthttp.Response) Result {
	result := Result{Status: response.StatusCode()}
	for name, value := range response.Header.All() {
		result.Headers = append(result.Headers, exchange.Header{Name: string(name), Value: string(value)})
	}
	result.Body = append([]byte(nil), response.Body()...)
	outcome, err := fleet.OutcomeString(string(response.Header.Peek(headerOutcome)))
	if err != nil {
		return result
	}
	result.Outcome = outcome
	if outcome == fleet.Done {
		return result
	}
	var refused refusalBody
	if json.Unmarshal(result.Body, &refused) == nil {
		result.Code = refused.Code
		result.Message = refused.Message
		result.RetryAfter = time.Duration(refused.AfterMillis) * time.Millisecond
	}
	if result.RetryAfter == 0 {
		seconds, err := strconv.Atoi(string(response.Header.Peek(headerRetry)))
		if err == nil && seconds > 0 {
			result.RetryAfter = time.Duration(seconds) * time.Second
		}
	}
	return result
}

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
	headerTenant   = "Galenaridge-Tenant"
	headerDeadline = "Galenaridge-Deadline"
	headerOutcome  = "Galenaridge-Outcome"
	headerMove     = "Galenaridge-Move"
	headerRetry    = "Retry-After"
)

const (
	// answerMargin is kept from the deadline that instances are told, so that
	// their answer at the deadline still arrives.
	answerMargin = 50 * time.Millisecond
	// marginShare bounds the margin for short deadlines.
	marginShare = 10
)

// attempt is one request on its way.
type attempt struct {
	client   *Client
	request  Request
	deadline time.Time
	// token stays the same once the request may have been sent.
	token string
	sent  int
}

// run sends the request until its outcome is known or nothing more is allowed.
func (a *attempt) run(ctx context.Context) (Result, error) {
	var result Result
	var err error
	for {
		sentBefore := a.sent
		result, err = a.send(ctx)
		again := result.Outcome == fleet.Unknown && a.sent <= a.request.MaxResends && a.sent > sentBefore
		if !again || ctx.Err() != nil || !a.client.options.Clock.Now().Before(a.deadline) {
			break
		}
	}
	result.Key = a.request.Key
	result.SendCount = a.sent
	return result, err
}

// send sends the request once. It moves on from addresses that refuse the
// connection, since nothing is sent to those.
func (a *attempt) send(ctx context.Context) (Result, error) {
	for range maxAssignments {
		assigned, err := a.client.assignments.get(a.request.Service, a.deadline)
		if err != nil {
			return a.unsent(NoAssignment), err
		}
		if a.sent == 0 {
			a.token = assigned.token
		}
		result, err, done := a.try(ctx, assigned)
		if done {
			return result, err
		}
		a.client.assignments.drop(a.request.Service, assigned)
	}
	return a.unsent(Unreachable), errUnreachable
}

// try offers the request to the addresses of one assignment. It is done when
// an address took the request or when time is up.
func (a *attempt) try(ctx context.Context, assigned *assignment) (Result, error, bool) {
	homeGone := false
	for _, address := range a.client.assignments.pick(assigned, a.request.Protected) {
		if err := ctx.Err(); err != nil {
			return a.unsent(exchange.Canceled), err, true
		}
		if !a.client.options.Clock.Now().Before(a.deadline) {
			return a.unsent(exchange.Expired), context.DeadlineExceeded, true
		}
		if homeGone && a.sent == 0 {
			// Nothing was sent, so a new token is better than one whose home
			// cannot answer.
			return Result{}, nil, false
		}
		result, err := a.exchange(assigned, address)
		if err != nil && unsent(err) {
			homeGone = homeGone || a.request.Protected && refused(err)
			continue
		}
		return result, err, true
	}
	return Result{}, nil, false
}

// exchange sends the request to one address.
func (a *attempt) exchange(assigned *assignment, address fleet.Address) (Result, error) {
	response, err := a.client.transport.exchange(address, a.wire(), a.deadline)
	if err != nil {
		if unsent(err) {
			return Result{}, err
		}
		a.sent++
		a.client.assignments.drop(a.request.Service, assigned)
		return Result{Outcome: fleet.Unknown, Code: NoAnswer, Address: address}, err
	}
	a.sent++
	result := read(response)
	result.Address = address
	if string(response.Header.Peek(headerMove)) == "1" {
		a.client.assignments.leave(address)
	}
	if outdated(result.Code) {
		a.client.assignments.drop(a.request.Service, assigned)
	}
	return result, nil
}

// outdated reports whether a refusal means that another assignment, or
// another token, would do better.
func outdated(code exchange.Code) bool {
	switch code {
	case exchange.TokenInvalid, exchange.TokenExpired, exchange.HomeLost, exchange.Stopping, exchange.NotReady:
		return true
	default:
		return false
	}
}

// unsent returns the result of a request that was not sent this time. It is
// known not to have run only if it was never sent before.
func (a *attempt) unsent(code exchange.Code) Result {
	if a.sent > 0 {
		return Result{Outcome: fleet.Unknown, Code: code}
	}
	return Result{Outcome: fleet.NotRun, Code: code}
}

// wire returns the request in its wire form.
func (a *attempt) wire() *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(a.request.Method)
	request.SetRequestURI("/" + string(a.request.Service) + a.request.Path)
	for _, h := range a.request.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	if a.request.Tenant != "" {
		request.Header.Set(headerTenant, string(a.request.Tenant))
	}
	if a.request.Protected {
		request.Header.Set(headerToken, a.token)
		request.Header.Set(headerKey, string(a.request.Key))
	}
	left := a.deadline.Sub(a.client.options.Clock.Now())
	left -= min(answerMargin, left/marginShare)
	request.Header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	request.SetBody(a.request.Body)
	return request
}

// refusal is the body of an answer that does not come from a server.
type refusal struct {
	Code        exchange.Code `json:"code"`
	AfterMillis int64         `json:"after_ms"`
	Message     string        `json:"message"`
}

// read returns the result that an answer states. An answer without a valid
// outcome did not come through the fleet as agreed, so its outcome is unknown.
func read(response *fasthttp.Response) Result {
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
	var refused refusal
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

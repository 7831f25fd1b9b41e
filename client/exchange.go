package client

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Request is one request to a service.
type Request struct {
	Service fleet.ServiceName
	Method  string
	// Path is the path and query, without the service, as the server receives them.
	Path     string
	Headers  []exchange.Header
	Body     []byte
	Customer fleet.Customer
	// Protected makes the fleet run the request at most once.
	Protected bool
	// Key identifies a protected request; a random one is used if it is empty.
	Key fleet.Key
	// MaxResends is how often the request may be sent again, under the same token
	// and key, while its outcome is unknown.
	MaxResends int
}

// Result is the outcome of a request and its response, if there is one.
type Result struct {
	Outcome fleet.Outcome
	// Code is the reason of a refusal; it is empty for a response of a server.
	Code    exchange.Code
	Message string
	// Status is the HTTP status; it is 0 if there was no response.
	Status  int
	Headers []exchange.Header
	// Body is complete or empty, never truncated.
	Body []byte
	// RetryAfter is the time to wait before a refused request is retried; it is
	// zero if unknown.
	RetryAfter time.Duration
	// Key is the key under which a protected request was sent.
	Key fleet.Key
	// Address is the instance that received the last send; it is empty if the last
	// attempt sent nothing or Do returned before its end.
	Address fleet.Address
	// SendCount counts how often the request was sent.
	SendCount int
}

// Header returns the first value of a header, or "" if there is none. The
// name is in canonical form.
func (r Result) Header(name string) string {
	for _, h := range r.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// Codes set by the client itself, in addition to the codes of instances.
const (
	// NoAssignment means that no entry address returned an assignment.
	NoAssignment exchange.Code = "no_assignment"
	// Unreachable means that no assigned address accepted a connection.
	Unreachable exchange.Code = "unreachable"
	// NoAnswer means that the request was sent and no complete response arrived.
	NoAnswer exchange.Code = "no_answer"
)

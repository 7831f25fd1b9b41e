package exchange

import (
	"time"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// RequestID uniquely identifies one attempt of a caller.
type RequestID string

// Request is one request of a caller to a service.
type Request struct {
	// ID is set by callers that route by host and empty for others.
	ID RequestID
	// Host is the requested host, with its port if the caller sent one.
	Host    string
	Service fleet.ServiceName
	Method  string
	// URI is the path and query as sent to the server.
	URI      string
	Headers  []Header
	Body     []byte
	Customer fleet.Customer
	// Credential is the hash of the caller's key; zero if it sent none.
	Credential customer.KeyHash
	// OmitCredential is set if the caller's key is not for the server.
	OmitCredential bool
	// Protected requests are not idempotent and run at most once.
	Protected bool
	Key       fleet.Key
	Deadline  time.Time
	// Hops is the number of times the request was forwarded between instances.
	Hops int
}

// Response is the response of a server, or a refusal by an instance if Code is
// not empty.
type Response struct {
	Outcome fleet.Outcome
	Code    Code
	Message string
	Status  int
	Headers []Header
	Body    []byte
	// RetryAfter is the delay after which a refused request may be retried; zero if
	// unknown.
	RetryAfter time.Duration
	Load       Load
	// Server is the server that responded, if known.
	Server fleet.ServerID
}

// Refused reports whether the response is a refusal by an instance, not a response of
// a server.
func (r Response) Refused() bool { return r.Code != "" }

// ForDuplicate returns the refusal to use for a request with a token on an instance
// that is not the home of the token. A duplicate of the request may have run, which
// only the home can determine. The outcome therefore becomes unknown, unless the
// request itself is invalid.
func (r Response) ForDuplicate() Response {
	if r.Outcome == fleet.NotRun && (r.Status == Overloaded.status() || r.Code == NoService) {
		r.Outcome = fleet.Unknown
		r.Status = HomeLost.status()
	}
	return r
}

// Load is the load of an instance for a service, used to compare instances.
type Load struct {
	Slots  fleet.Slots
	Busy   fleet.Slots
	Queued int
}

// Refuse returns a refusal with the outcome that belongs to the code.
func Refuse(code Code, message string) Response {
	outcome := fleet.NotRun
	if code.uncertain() {
		outcome = fleet.Unknown
	}
	if code == AnswerDropped {
		outcome = fleet.Done
	}
	return Response{Outcome: outcome, Code: code, Message: message, Status: code.status()}
}

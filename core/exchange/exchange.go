package exchange

import (
	"time"

	"galenaridge/core/fleet"
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// RequestID names one attempt of a caller; it is unique.
type RequestID string

// Request is one request of a caller to a service.
type Request struct {
	// ID is given by callers that route by host; empty for others.
	ID RequestID
	// Host is the host that the caller asked, with its port if it gave one.
	Host    string
	Service fleet.ServiceName
	Method  string
	// URI is the path and query as the server receives them.
	URI     string
	Headers []Header
	Body    []byte
	Tenant  fleet.Tenant
	// Protected requests are non-idempotent and run at most once.
	Protected bool
	Key       fleet.Key
	Deadline  time.Time
	// Hops counts the forwards between instances so far.
	Hops int
}

// Response is the answer to a request, or a refusal if Code is not empty.
type Response struct {
	Outcome fleet.Outcome
	Code    Code
	Message string
	Status  int
	Headers []Header
	Body    []byte
	// RetryAfter is when a refused request may be sent again; zero if not known.
	RetryAfter time.Duration
	Load       Load
	// Server is the server that answered, if known.
	Server fleet.ServerID
}

// Refused reports whether the response comes from an instance and not from a
// server.
func (r Response) Refused() bool { return r.Code != "" }

// ForDuplicate returns the refusal of an instance that is not the home, for a request
// that carries a token. Another copy of the request may have run, and only the
// home knows, so the outcome is unknown unless the request itself is wrong.
func (r Response) ForDuplicate() Response {
	if r.Outcome == fleet.NotRun && (r.Status == Overloaded.status() || r.Code == NoService) {
		r.Outcome = fleet.Unknown
		r.Status = HomeLost.status()
	}
	return r
}

// Load compares owners of a service.
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

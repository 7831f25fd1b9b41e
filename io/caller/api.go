package caller

import (
	"context"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Handler handles requests of callers. The context ends when the caller
// disconnects. It has no deadline, since the deadline is in the request.
// Request.Protected is not set on arrival; the handler sets it from the routes.
type Handler interface {
	Serve(ctx context.Context, request exchange.Request, token string) Result
}

// Result is the response to one request. Token and Key are set if they were minted
// for a protected request that had none.
type Result struct {
	Response exchange.Response
	Token    string
	Key      fleet.Key
}

// Assigner selects the endpoints that a caller should use. The domain may be empty.
// Errors are *Refusal; any other error is reported to the caller as not_ready.
type Assigner interface {
	Assign(service fleet.ServiceName, domain fleet.Domain) (Assignment, error)
}

// Assignment is the list of endpoints that a caller may use for a service, with a
// token for protected requests.
type Assignment struct {
	Service   fleet.ServiceName
	Version   fleet.Version
	Endpoints []Endpoint
	// TTL is how long the caller may keep the assignment.
	TTL   time.Duration
	Token string
	// TokenTTL is how long the token is valid.
	TokenTTL time.Duration
}

// Endpoint is the address of an instance and its failure domain.
type Endpoint struct {
	Address fleet.Address
	Domain  fleet.Domain
}

// Policy provides the limits of requests in the active configuration.
// Its methods are called for each request and must not block.
type Policy interface {
	// Ready reports whether a configuration is active.
	Ready() bool
	// MaxDeadline returns the default and largest deadline of a service, and
	// false if the service is not configured.
	MaxDeadline(service fleet.ServiceName) (time.Duration, bool)
	// Class returns the class of a customer, and false if the customer is not
	// configured.
	Class(customer fleet.Customer) (fleet.Class, bool)
	// Limits returns the active limits; zero values select the defaults.
	Limits() config.Limits
}

// Stopping reports whether the instance is shutting down.
type Stopping interface {
	Stopping() bool
}

// Refusal is an error of an Assigner whose response is sent to the caller.
type Refusal struct {
	Response exchange.Response
}

// Error returns the code and the message of the refusal.
func (r *Refusal) Error() string {
	return string(r.Response.Code) + ": " + r.Response.Message
}

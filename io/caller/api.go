package caller

import (
	"context"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Handler answers requests of callers. The context ends when the caller goes
// away; it carries no deadline, which is in the request. The handler sets
// Protected from the routes, so the request arrives with it unset.
type Handler interface {
	Serve(ctx context.Context, request exchange.Request, token string) Result
}

// Result is the answer to one request, with the token and the key that were
// minted for a protected request that had none.
type Result struct {
	Response exchange.Response
	Token    string
	Key      fleet.Key
}

// Assigner says which addresses a caller should use. Its errors are *Refusal;
// any other error is answered as not_ready. The domain may be empty.
type Assigner interface {
	Assign(service fleet.ServiceName, domain fleet.Domain) (Assignment, error)
}

// Assignment is the answer to a caller that asks where to connect.
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

// Endpoint is an address of an instance and its failure domain.
type Endpoint struct {
	Address fleet.Address
	Domain  fleet.Domain
}

// Policy gives the parts of the configuration in force that bound requests.
// Its methods are called for each request and must not block.
type Policy interface {
	// Ready reports whether a configuration is in force.
	Ready() bool
	// MaxDeadline returns the default and largest deadline of a service, and
	// false if the service is not configured.
	MaxDeadline(service fleet.ServiceName) (time.Duration, bool)
	// Class returns the class of a tenant, and false if the tenant is not
	// configured.
	Class(tenant fleet.Tenant) (fleet.Class, bool)
	// Limits returns the limits in force; zero values select the defaults.
	Limits() config.Limits
}

// Stopping reports whether the instance is in a planned stop.
type Stopping interface {
	Stopping() bool
}

// Refusal is an error of an Assigner that the caller receives.
type Refusal struct {
	Response exchange.Response
}

// Error returns the code and the message of the refusal.
func (r *Refusal) Error() string {
	return string(r.Response.Code) + ": " + r.Response.Message
}

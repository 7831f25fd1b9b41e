package route

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
)

// Priority ranks routes; 0 is the most urgent.
type Priority int

// Document is one version of the configuration.
type Document struct {
	Version  fleet.Version
	Services []Service
	Limits   Limits
	Routes   []Route
	// KeysRequired is set if only routes that are public serve requests without the key of a
	// customer: the configuration has a list of customers. The list may be empty, and then
	// no key is valid.
	KeysRequired bool
	// Customers lists the customers. If there are any, keys are required.
	Customers []customer.Customer
}

// Service is an upstream service.
type Service struct {
	Name fleet.ServiceName
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all callers
	// together.
	MaxConns fleet.Conns
}

// Limits limits what callers may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the longest time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection may stay open without a
	// request.
	IdleTimeout time.Duration
}

// Route defines how requests below a path prefix of a host are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Public is set if requests of the route need no key.
	Public bool
	// Idempotent is set if requests of the route may run more than once.
	Idempotent bool
	// Timeout is the longest time until the caller gets a response.
	Timeout time.Duration
	// LatencyObjective is the response time to aim for; later responses are worth
	// less.
	LatencyObjective time.Duration
	Priority         Priority
	// MaxAttempts is the largest number of servers that one request is sent to.
	MaxAttempts int
	Backends    []Backend
}

// Backend is a service of a route and its weight among the backends.
type Backend struct {
	Service fleet.ServiceName
	Weight  int
}

// ErrInvalid is wrapped by all errors of Validate.
var ErrInvalid = errors.New("configuration is not valid")

// Validate returns an error that wraps ErrInvalid if the document is invalid.
func Validate(d Document) error {
	if d.Version == 0 {
		return fmt.Errorf("%w: the version is missing", ErrInvalid)
	}
	known := make(map[fleet.ServiceName]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			return fmt.Errorf("%w: a service has no name", ErrInvalid)
		}
		if s.MaxConns < 0 {
			return fmt.Errorf("%w: service %q has a negative number of connections", ErrInvalid, s.Name)
		}
		known[s.Name] = true
	}
	if l := d.Limits; l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return fmt.Errorf("%w: a limit is negative", ErrInvalid)
	}
	if err := customer.Validate(d.Customers); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for i := range d.Routes {
		if err := validateRoute(&d.Routes[i], known); err != nil {
			return fmt.Errorf("%w: route %q: %w", ErrInvalid, d.Routes[i].Name, err)
		}
	}
	return nil
}

func validateRoute(r *Route, known map[fleet.ServiceName]bool) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("host %q is empty or prefix %q does not start and end with a slash", r.Host, r.Prefix)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 0 {
		return fmt.Errorf("timeout %v is not positive or the number of attempts, %d, is negative", r.Timeout, r.MaxAttempts)
	}
	if r.LatencyObjective < 0 || r.Priority < 0 {
		return fmt.Errorf("latency objective %v or priority %d is negative", r.LatencyObjective, r.Priority)
	}
	total := 0
	for _, b := range r.Backends {
		if !known[b.Service] || b.Weight < 0 {
			return fmt.Errorf("service %q is not configured or its weight %d is negative", b.Service, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		return errors.New("no service has a positive weight")
	}
	return nil
}

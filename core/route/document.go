package route

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"galenaridge/core/fleet"
)

// Priority ranks kinds of requests; 0 is the most urgent.
type Priority int

// Document is one version of the configuration.
type Document struct {
	Version  fleet.Version
	Services []Service
	Limits   Limits
	Routes   []Route
}

// Service is an upstream service.
type Service struct {
	Name fleet.ServiceName
	// HealthPath is the path of its health check.
	HealthPath string
	// MaxConns is the number of connections that one server takes from all callers.
	MaxConns fleet.Conns
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxHeaderBytes and Body are sizes in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is how long the header of a request may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Route says how requests below a prefix of a host are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which a response is worth most.
	LatencyObjective time.Duration
	Priority         Priority
	// MaxAttempts is the largest number of servers that one request is sent to.
	MaxAttempts int
	Backends    []Backend
}

// Backend is a service of a route with its share of the requests.
type Backend struct {
	Service fleet.ServiceName
	Weight  int
}

// ErrInvalid is wrapped by all errors of Validate.
var ErrInvalid = errors.New("configuration is not valid")

// Validate returns an error that wraps ErrInvalid if the document breaks a rule.
func Validate(d Document) error {
	if d.Version == 0 {
		return fmt.Errorf("%w: no version", ErrInvalid)
	}
	known := make(map[fleet.ServiceName]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			return fmt.Errorf("%w: a service has no name", ErrInvalid)
		}
		known[s.Name] = true
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
		return fmt.Errorf("host %q, prefix %q", r.Host, r.Prefix)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 0 {
		return fmt.Errorf("timeout %v, attempts %d", r.Timeout, r.MaxAttempts)
	}
	total := 0
	for _, b := range r.Backends {
		if !known[b.Service] || b.Weight < 0 {
			return fmt.Errorf("service %q with weight %d", b.Service, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		return errors.New("no service has a weight")
	}
	return nil
}

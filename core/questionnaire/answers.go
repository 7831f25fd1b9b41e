package questionnaire

import (
	"time"

	"galenaridge/core/fleet"
)

// Answers is what a team says about its deployment. Zero values of optional
// fields stand for the defaults that Generate notes.
type Answers struct {
	Deployment string         `yaml:"deployment"`
	Domains    []fleet.Domain `yaml:"domains"`
	// Detect says whether failing servers are detected fast or carefully.
	Detect   fleet.Preference `yaml:"detect"`
	Services []Service        `yaml:"services"`
	// Tenants is optional; without it all callers share one default tenant.
	Tenants []Tenant `yaml:"tenants,omitempty"`
	// Limits is optional.
	Limits Limits `yaml:"limits,omitempty"`
}

// Service is what a team says about one upstream service.
type Service struct {
	Name fleet.ServiceName `yaml:"name"`
	// Servers is how many servers are expected to run.
	Servers fleet.Servers `yaml:"servers"`
	// Slots is how many requests one server may work on at a time.
	Slots fleet.Slots `yaml:"slots"`
	// Conns is how many connections one server accepts.
	Conns fleet.Conns `yaml:"conns"`
	// Floor is how many servers must stay in use whatever detection says.
	Floor fleet.Servers `yaml:"floor"`
	// Deadline is the longest time a request may take.
	Deadline time.Duration `yaml:"deadline"`
	// Protected lists requests that must run at most once.
	Protected []RequestPattern `yaml:"protected,omitempty"`
	// Idempotent lists requests other than GET, HEAD and OPTIONS that may be
	// repeated without harm.
	Idempotent []RequestPattern `yaml:"idempotent,omitempty"`
}

// RequestPattern names the requests of one method under a path prefix.
type RequestPattern struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Tenant is a group of callers, its class of service and its share.
type Tenant struct {
	Name   fleet.Tenant `yaml:"name"`
	Class  fleet.Class  `yaml:"class"`
	Weight int          `yaml:"weight"`
}

// Limits bounds requests and the life of assignments and tokens.
type Limits struct {
	// MaxBodyBytes is the largest request or response body in bytes.
	MaxBodyBytes int `yaml:"body,omitempty"`
	// MaxHeaderBytes is the largest request header in bytes.
	MaxHeaderBytes int `yaml:"header,omitempty"`
	// AssignmentTTL is how long callers keep an address.
	AssignmentTTL time.Duration `yaml:"assignment,omitempty"`
	// TokenTTL is how long a protected request may be repeated safely.
	TokenTTL time.Duration `yaml:"token,omitempty"`
}

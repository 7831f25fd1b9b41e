package questionnaire

import (
	"time"

	"galenaridge/core/fleet"
)

// Answers holds the answers of a team about its deployment. Zero values of optional fields
// mean the defaults, which the notes of Generate list.
type Answers struct {
	Deployment string         `yaml:"deployment"`
	Domains    []fleet.Domain `yaml:"domains"`
	// Detect selects fast or careful detection of failing servers.
	Detect   fleet.Preference `yaml:"detect"`
	Services []Service        `yaml:"services"`
	// Customers is optional. Without it, all callers share the default customer.
	Customers []Customer `yaml:"tenants,omitempty"`
	// Limits is optional, and so is each of its fields.
	Limits Limits `yaml:"limits,omitempty"`
}

// Service holds the answers about one upstream service.
type Service struct {
	Name fleet.ServiceName `yaml:"name"`
	// Servers is the expected number of servers.
	Servers fleet.Servers `yaml:"servers"`
	// Slots is the number of requests that one server may handle at the same time.
	Slots fleet.Slots `yaml:"slots"`
	// Conns is the number of connections that one server accepts.
	Conns fleet.Conns `yaml:"conns"`
	// Floor is the number of servers that must stay in use, even if they are detected as
	// failing.
	Floor fleet.Servers `yaml:"floor"`
	// Deadline is the longest time that a request may take.
	Deadline time.Duration `yaml:"deadline"`
	// Protected lists requests that must run at most once.
	Protected []RequestPattern `yaml:"protected,omitempty"`
	// Idempotent lists requests with other methods than GET, HEAD and OPTIONS that can
	// safely be retried.
	Idempotent []RequestPattern `yaml:"idempotent,omitempty"`
}

// RequestPattern matches the requests with a method and a path prefix.
type RequestPattern struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Customer is a group of callers with its class and its weight in fair queueing.
type Customer struct {
	Name   fleet.Customer `yaml:"name"`
	Class  fleet.Class    `yaml:"class"`
	Weight int            `yaml:"weight"`
}

// Limits bounds the size of requests and responses and the lifetime of assignments and
// tokens.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request or response body.
	MaxBodyBytes int `yaml:"body,omitempty"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `yaml:"header,omitempty"`
	// AssignmentTTL is how long callers use an assignment.
	AssignmentTTL time.Duration `yaml:"assignment,omitempty"`
	// TokenTTL is how long a protected request can safely be retried.
	TokenTTL time.Duration `yaml:"token,omitempty"`
}

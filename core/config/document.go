package config

import (
	"time"

	"galenaridge/core/fleet"
)

// Document is one version of the configuration of a whole fleet.
type Document struct {
	Version    fleet.Version  `yaml:"version"`
	Digest     fleet.Digest   `yaml:"digest"`
	Deployment string         `yaml:"deployment"`
	Domains    []fleet.Domain `yaml:"domains"`
	Services   []Service      `yaml:"services"`
	Customers  []Customer     `yaml:"tenants"`
	Limits     Limits         `yaml:"limits"`
}

// Service is the configuration of one upstream service.
type Service struct {
	Name     fleet.ServiceName `yaml:"name"`
	Slots    fleet.Slots       `yaml:"slots"`
	Conns    fleet.Conns       `yaml:"conns"`
	Floor    fleet.Servers     `yaml:"floor"`
	Deadline time.Duration     `yaml:"deadline"`
	// Detect selects the thresholds of failure detection.
	Detect fleet.Preference `yaml:"detect"`
	Routes []Route          `yaml:"routes"`
}

// Route marks the requests of a service with a method and a path prefix as protected or
// not. The route with the longest matching prefix decides. A request that matches no
// route is protected unless its method is GET, HEAD or OPTIONS.
type Route struct {
	Method    string `yaml:"method"`
	Path      string `yaml:"path"`
	Protected bool   `yaml:"protected"`
}

// Customer is a customer with its class and its weight in fair queueing.
type Customer struct {
	Name   fleet.Customer `yaml:"name"`
	Class  fleet.Class    `yaml:"class"`
	Weight int            `yaml:"weight"`
}

// Limits bounds the size of requests and responses, and the lifetime of assignments
// and tokens. The JSON names are sent between instances.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request or response body.
	MaxBodyBytes int `yaml:"body" json:"Body"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `yaml:"header" json:"Header"`
	// AssignmentTTL is how long callers use an assignment.
	AssignmentTTL time.Duration `yaml:"assignment" json:"Assignment"`
	// TokenTTL is how long a token is valid and the at-most-once records under it are
	// kept.
	TokenTTL time.Duration `yaml:"token" json:"Token"`
}

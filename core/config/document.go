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
	Tenants    []Tenant       `yaml:"tenants"`
	Limits     Limits         `yaml:"limits"`
}

// Service is the configuration of one upstream service.
type Service struct {
	Name     fleet.ServiceName `yaml:"name"`
	Slots    fleet.Slots       `yaml:"slots"`
	Conns    fleet.Conns       `yaml:"conns"`
	Floor    fleet.Servers     `yaml:"floor"`
	Deadline time.Duration     `yaml:"deadline"`
	// Detect picks the thresholds of failure detection.
	Detect fleet.Preference `yaml:"detect"`
	Routes []Route          `yaml:"routes"`
}

// Route marks requests of a service. The longest matching prefix decides;
// a request that no route matches is protected unless its method is GET,
// HEAD or OPTIONS.
type Route struct {
	Method    string `yaml:"method"`
	Path      string `yaml:"path"`
	Protected bool   `yaml:"protected"`
}

// Tenant is a caller's tenant with its class and its weight in fair queues.
type Tenant struct {
	Name   fleet.Tenant `yaml:"name"`
	Class  fleet.Class  `yaml:"class"`
	Weight int          `yaml:"weight"`
}

// Limits bounds what callers may ask and how long answers stay valid.
type Limits struct {
	// MaxBodyBytes is the largest request or answer body in bytes.
	MaxBodyBytes int `yaml:"body"`
	// MaxHeaderBytes is the largest request header in bytes.
	MaxHeaderBytes int `yaml:"header"`
	// AssignmentTTL is how long callers keep an assignment.
	AssignmentTTL time.Duration `yaml:"assignment"`
	// TokenTTL is how long a token and its at-most-once records are kept.
	TokenTTL time.Duration `yaml:"token"`
}

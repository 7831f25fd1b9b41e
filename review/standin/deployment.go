package main

import (
	"net/http"
	"time"
)

// deployment holds what a case uses of the sheet of a small site.
type deployment struct {
	region string
	zones  []string
	// retryAllowance is the bound retry_allowance.
	retryAllowance int
	// slots and queue are the slots and the queue of a server.
	slots, queue int
	services     []service
	kinds        []kind
}

// service is a service with its number of servers and the time of a request there.
type service struct {
	name    string
	servers int
	work    time.Duration
}

// kind is a kind of request of clients. Each has a route of its own.
type kind struct {
	name, method, prefix, service string
	idempotent                    bool
	priority                      int
	perSecond                     float64
	target, deadline              time.Duration
	bodyBytes                     int
}

var bmrsGateway = deployment{
	region:         "jm-south",
	zones:          []string{"kgn-a", "kgn-b", "spt-c"},
	retryAllowance: 64,
	slots:          2,
	queue:          8,
	services: []service{
		{name: "plan-library", servers: 30, work: 150 * time.Millisecond},
		{name: "dispatch-desk", servers: 6, work: 84 * time.Millisecond},
	},
	kinds: []kind{
		{name: "plan-lookup", method: http.MethodGet, prefix: "/lookup/", service: "plan-library", idempotent: true, priority: 2, perSecond: 40, target: 500 * time.Millisecond, deadline: time.Second},
		{name: "plan-signoff", method: http.MethodPost, prefix: "/signoff/", service: "plan-library", priority: 1, perSecond: 108, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, bodyBytes: 1200},
		{name: "crew-booking", method: http.MethodPut, prefix: "/booking/", service: "dispatch-desk", perSecond: 42.3, target: 300 * time.Millisecond, deadline: 600 * time.Millisecond, bodyBytes: 4000},
	},
}

var kuvukaGateway = deployment{
	region:         "khomas",
	zones:          []string{"khomas-a", "khomas-b", "khomas-c"},
	retryAllowance: 56,
	slots:          4,
	queue:          16,
	services: []service{
		{name: "bundle-svc", servers: 21, work: 270 * time.Millisecond},
		{name: "credit-svc", servers: 6, work: 150 * time.Millisecond},
	},
	kinds: []kind{
		{name: "listing-browse", method: http.MethodGet, prefix: "/browse/", service: "bundle-svc", idempotent: true, priority: 2, perSecond: 29.1, target: time.Second, deadline: 2 * time.Second},
		{name: "swap-request", method: http.MethodPost, prefix: "/swap/", service: "bundle-svc", priority: 1, perSecond: 83.8, target: time.Second, deadline: 2 * time.Second, bodyBytes: 4000},
		{name: "credit-payout", method: http.MethodPut, prefix: "/payout/", service: "credit-svc", perSecond: 27.3, target: 500 * time.Millisecond, deadline: time.Second, bodyBytes: 1200},
	},
}

// configuration returns the configuration as the operator writes it.
func (d deployment) configuration() map[string]any {
	var services, paths []any
	for _, s := range d.services {
		services = append(services, map[string]any{"name": s.name, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	for _, k := range d.kinds {
		kindOfRoute := "non_idempotent"
		if k.idempotent {
			kindOfRoute = "idempotent"
		}
		paths = append(paths, map[string]any{
			"name": "r-" + k.name, "prefix": k.prefix, "type": kindOfRoute, "timeout_ms": k.deadline.Milliseconds(),
			"target_latency_ms": k.target.Milliseconds(), "priority": k.priority, "service": k.service, "max_attempts": 2,
		})
	}
	return map[string]any{
		"version":  7,
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"hosts":    []any{map[string]any{"host": hostName, "paths": paths}},
	}
}

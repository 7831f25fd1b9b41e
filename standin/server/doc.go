// Package server simulates one server of an upstream service for tests and
// measurements. It spends a service time on each request, counts requests and
// connections, and injects faults on request: it stalls, slows down, returns
// errors, alternates between stalling and serving, refuses connections or
// truncates bodies. Except while it refuses connections, its health probe
// succeeds during a fault.
//
// A protected key counts as run as soon as its request gets a slot, before any
// fault applies, because a request that stalls or fails after that point may
// have had its effect. A request that was shed or that arrived after its
// deadline did not run.
//
// The peak of concurrent requests includes requests that were shed. The peak of
// connections includes connections that were closed because they exceeded the
// limit.
package server

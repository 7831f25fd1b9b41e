// Package dispatch routes a request of a caller to a server and returns the response.
//
// Model: Serve matches the route, selects a service by weight, and makes attempts on
// servers chosen by package balance. A non-idempotent request is retried only if it
// provably did not run. An idempotent request is also sent to a second server (hedged)
// when the first takes much longer than expected, within the quota of the service. A
// request that no server can handle in time is refused immediately.
//
// Guarantees: a refusal with the outcome not-run is true. A response without a refusal
// is the complete response of the server. No attempt starts after the deadline or
// after the caller disconnected.
package dispatch

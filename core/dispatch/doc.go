// Package dispatch carries a request from its caller to a server and back.
//
// Model: Serve matches the route, draws a service, and makes attempts on the
// servers that balance chooses. A request that is not idempotent is sent again
// only if it provably did not run. An idempotent one may be sent to a second
// server as soon as the first takes much longer than usual, within the quota of
// repeats. What no server can do in time is refused at once.
//
// Guarantees: a refusal whose outcome is not-run is true. An answer is that of
// the server, whole. No attempt starts after the caller left or the deadline.
package dispatch

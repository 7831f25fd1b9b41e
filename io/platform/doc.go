// Package platform reads and watches the configuration and the listing of processes
// that the platform publishes.
//
// The protocol is HTTP/1.1. GET /v1/config returns the configuration as YAML
// and GET /v1/list the listing as JSON, both with the header Platform-Revision.
// With the query after=N&wait=D the platform delays its response until the
// revision is higher than N (a long poll). If that does not happen within the
// duration D (such as 20s), it responds with status 304. The package delivers all
// values that it receives; the user of the package must ignore older ones.
//
// The load on the platform is limited: a watcher has at most one call of each kind
// pending, starts at most two calls per second for the configuration and one for
// the listing, and waits up to 2 s between failed calls.
package platform

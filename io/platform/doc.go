// Package platform reads and watches the configuration and the list of
// processes of the platform.
//
// The protocol is HTTP/1.1. GET /v1/config returns the configuration as YAML
// and GET /v1/list the list as JSON, both with the header Platform-Revision.
// With the query after=N&wait=D the platform holds the call until the
// revision is higher than N, and answers 304 if it is not after the duration
// D (as in 20s). The package hands values on as they come and leaves it to
// its user to ignore older ones.
//
// Calls are bounded: a watcher has at most one call of each kind pending,
// starts at most two calls a second for the configuration and one for the
// list, and waits up to 2 s between calls that fail.
package platform

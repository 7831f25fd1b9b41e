// Package gateway holds the control state of an instance on a platform.
//
// One goroutine (Loop.Run) owns the routes, the servers and the working set. It
// receives commands from a bounded channel and publishes an immutable View, which
// traffic goroutines read without a lock.
package gateway

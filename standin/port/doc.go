// Package port reserves loopback ports for processes that are started later,
// or more than once.
package port

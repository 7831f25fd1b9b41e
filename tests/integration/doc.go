// Package integration holds tests that run whole fleets as real processes.
package integration

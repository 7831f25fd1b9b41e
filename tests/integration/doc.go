// Package integration contains tests that run whole fleets as separate processes.
package integration

// Package process assembles an instance from its parts, runs it, and performs its
// planned stop.
package process

// Package process assembles one instance from its parts and runs it from start
// to planned stop.
package process

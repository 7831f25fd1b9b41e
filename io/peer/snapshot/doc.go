// Package snapshot transfers an instance's copy of the platform's store to another
// instance, as JSON over HTTP.
package snapshot

// Package snapshot hands the copy of the platform's store from one instance to
// another, as JSON over HTTP.
package snapshot

// Package caller holds callers that deliberately break the rules of package
// client: one sends duplicates of protected requests to other instances,
// another keeps its assignment although an instance requests that it moves. The
// outcomes that they receive are recorded, so that they can be compared with
// the requests that the servers ran.
package caller

// Package pipeline serves callers over HTTP/1.1 connections on which further
// requests may arrive before earlier ones are answered.
//
// Model: one goroutine reads the requests of a connection, each request is
// handled in a goroutine of its own, and one goroutine writes the answers in the
// order of the requests. The reader goes on while requests are handled, so it
// learns at once when the caller goes away.
//
// Guarantees: a request that was read is answered, unless the caller left. A
// malformed request is answered with 400, 408, 413 or 431, reaches no handler
// and ends the connection.
package pipeline

// Package pipeline is the HTTP/1.1 front end for callers with request pipelining:
// a caller may send further requests before it receives the response to the first.
//
// Model: one goroutine reads the requests of a connection, each request is
// handled in a goroutine of its own, and one goroutine writes the responses in the
// order of the requests. Reading continues while requests are handled, so a
// disconnect of the caller is detected at once.
//
// Guarantees: each request that was read gets a response, unless the caller
// disconnects. A malformed request gets 400, 408, 413 or 431, reaches no handler
// and ends the connection.
package pipeline

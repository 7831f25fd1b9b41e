// Package caller is the HTTP/1.1 front end for callers. It encodes and
// decodes; what to answer is decided behind the Handler and the Assigner.
// docs/callers.md describes the protocol.
//
// Paths under /-/ belong to the instance and are routed by fiber; all others
// have the form /{service}/{path} and go straight from fasthttp to the
// Handler. Everything that outlives a handler is copied out of the buffers of
// both.
//
// fasthttp does not tell a handler that its caller went away. While a handler
// runs, one goroutine therefore waits, parked in the network poller, until
// the connection becomes readable, and then peeks at it without taking
// anything: the end of the stream or a reset cancels the context. An expired
// read deadline ends the wait when the handler returns, before fasthttp reads
// again. A caller that closes only its sending side counts as gone. If the
// caller pipelines, the next request hides the end of the stream behind it,
// and only the deadline of the request bounds the handler. fasthttp also holds an
// answer back if it has read the next request already.
package caller

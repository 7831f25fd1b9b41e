// Package caller is the HTTP/1.1 front end for callers. It only decodes requests
// and encodes responses; the Handler and the Assigner decide on the content.
// docs/callers.md describes the protocol.
//
// Paths under /-/ belong to the instance and are routed by fiber. All others have
// the form /{service}/{path} and go directly from fasthttp to the Handler. Data that
// outlives a handler is copied out of the buffers of fiber and fasthttp.
//
// fasthttp does not notify a handler when the caller disconnects. While a handler
// runs, one goroutine therefore waits in the network poller until the connection
// becomes readable, and then peeks at it without consuming data: the end of the
// stream or a reset cancels the context. When the handler returns, an expired read
// deadline ends the wait before fasthttp reads again. A caller that closes only its
// sending side counts as disconnected. If the caller pipelines requests, the next
// request hides the end of the stream behind it, and only the deadline of the
// request bounds the handler. If fasthttp has already read the next request, it also
// delays the response to the current one.
package caller

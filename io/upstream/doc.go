// Package upstream is the HTTP/1.1 client to servers.
//
// A connection belongs to one slot of one server and carries one request at a
// time, so the slots bound the connections. Nothing is ever sent again by this
// package: fasthttp encodes and decodes messages, but its HostClient is not
// used, because it cannot ask for a permission between taking a connection
// and writing, and does not report whether a byte may have been written.
//
// A connection is closed after a timeout, a cancellation, a malformed or
// incomplete response, and bytes that follow a response. A late response
// therefore never meets the next request.
package upstream

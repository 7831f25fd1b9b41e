// Package upstream is the HTTP/1.1 client to servers.
//
// A connection of a Client belongs to one slot of one server and carries one request
// at a time, so the slots bound the number of connections. A Pool opens connections
// as needed and keeps a few idle ones.
//
// This package never retries a request. fasthttp encodes and decodes messages, but
// its HostClient is not used: it cannot check a permission between taking a
// connection and writing, and does not report whether a byte may have been written.
//
// A connection is closed after a timeout, a cancellation, a malformed or incomplete
// response, and bytes that follow a response. A late response is therefore never
// taken for the response to the next request.
package upstream

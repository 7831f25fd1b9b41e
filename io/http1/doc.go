// Package http1 reads HTTP/1.1 responses strictly: a response that may be truncated is
// an error. It also copies headers out of the buffers of fasthttp, and reads the credential of
// a request.
package http1

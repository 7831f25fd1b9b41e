// Package http1 reads HTTP/1.1 responses strictly: a response that may have
// been cut short is an error.
package http1

// Package caller is the HTTP/1.1 front end for callers.
package caller

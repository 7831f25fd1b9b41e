// Package memory bounds the bytes that peers can make a process hold: connections, heads
// and bodies of requests, responses in progress, and responses that wait for a reader.
package memory

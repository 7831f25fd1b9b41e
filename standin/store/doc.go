// Package store simulates the metadata store of the machine platform for tests. It
// serves reads and watches over HTTP and injects faults on request.
package store

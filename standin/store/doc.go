// Package store is a stand-in for the metadata store of the machine platform. It
// serves reads and watches over HTTP and can be told to fail.
package store

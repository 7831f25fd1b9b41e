// Package gateway assembles an instance that runs on a platform and runs it. All
// names and formats of the platform are behind the interface Adapter.
package gateway

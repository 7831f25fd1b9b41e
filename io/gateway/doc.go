// Package gateway assembles an instance on a platform from its parts and runs
// it. The names and formats of the platform come in through Adapter.
package gateway

// Package peer carries messages between instances over gRPC.
//
// The messages are defined in peerpb; convert.go converts them to and from the
// types of core. Client implements the interfaces through which control and
// traffic call other instances, and Server handles the calls of other instances.
// The retries, service discovery and load balancing of gRPC are not used.
package peer

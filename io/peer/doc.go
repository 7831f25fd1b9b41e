// Package peer carries messages between instances over gRPC.
//
// The messages are those of peerpb; convert.go turns them into the types of
// core and back. Client implements what control and traffic need from other
// instances, and Server answers them. No call is retried by the library, and
// its service discovery and balancing are not used.
package peer

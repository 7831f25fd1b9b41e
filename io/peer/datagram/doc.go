// Package datagram exchanges heartbeats and server reports between the instances
// of a platform over UDP. Each datagram is one protobuf message. Lost datagrams
// are not sent again, since the next heartbeat or report replaces them.
package datagram

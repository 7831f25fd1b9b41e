// Package datagram exchanges datagrams between instances on a platform. A datagram
// is one protobuf message; lost ones are not repeated, since the next follows
// soon.
package datagram

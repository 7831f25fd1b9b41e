package fleet

import (
	"strconv"
	"strings"
)

// InstanceID names an instance; it survives a restart of the process.
type InstanceID string

// Incarnation is the random number that an instance draws at each start, so
// that a restarted process is never taken for the one before it.
type Incarnation uint64

// Member identifies one incarnation of one instance.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
}

// String returns the id and the incarnation, joined by a slash.
func (m Member) String() string {
	return string(m.ID) + "/" + strconv.FormatUint(uint64(m.Incarnation), 16)
}

// IsZero reports whether m names no member.
func (m Member) IsZero() bool { return m == Member{} }

// Compare orders members by id and then by incarnation.
func (m Member) Compare(other Member) int {
	if c := strings.Compare(string(m.ID), string(other.ID)); c != 0 {
		return c
	}
	switch {
	case m.Incarnation < other.Incarnation:
		return -1
	case m.Incarnation > other.Incarnation:
		return 1
	default:
		return 0
	}
}

// ServerID names one server; it is unique over all services.
type ServerID string

// ServiceName names a service of an upstream.
type ServiceName string

// Domain names a failure domain.
type Domain string

// Tenant names a caller's tenant.
type Tenant string

// Class names a group of tenants that share one histogram.
type Class string

// Address is a TCP address in the form IP:port.
type Address string

// Resource names what an instance may own: a server's slots or the
// stewardship of a service's floor.
type Resource string

// ServerResource returns the resource that stands for the slots of a server.
func ServerResource(id ServerID) Resource { return Resource("server/" + string(id)) }

// FloorResource returns the resource that stands for the stewardship of the
// floor of a service.
func FloorResource(name ServiceName) Resource { return Resource("floor/" + string(name)) }

// Version numbers configuration documents; a later document has a higher one.
type Version uint64

// Revision numbers the platform's list of processes.
type Revision uint64

// Digest is the SHA-256 digest of a document in lower-case hexadecimal.
type Digest string

// Slots counts requests that a server may work on at the same time.
type Slots int

// Conns counts open connections to a server.
type Conns int

// Servers counts servers.
type Servers int

// Key is the idempotency key that a caller gives to a protected request.
type Key string

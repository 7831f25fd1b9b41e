package fleet

import (
	"strconv"
	"strings"
)

// InstanceID identifies an instance. It stays the same when the process restarts.
type InstanceID string

// Incarnation is a random number that an instance generates at each start. It
// distinguishes a restarted process from the previous one.
type Incarnation uint64

// Member identifies one incarnation of one instance.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
}

// String returns the id and the hexadecimal incarnation, separated by a slash.
func (m Member) String() string {
	return string(m.ID) + "/" + strconv.FormatUint(uint64(m.Incarnation), 16)
}

// IsZero reports whether m is the zero value, which identifies no member.
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

// ServerID identifies a server. It is unique over all services.
type ServerID string

// ServiceName is the name of an upstream service.
type ServiceName string

// Domain is the name of a failure domain.
type Domain string

// Customer is the name of the customer that a caller belongs to.
type Customer string

// Class is the name of a group of customers that share one histogram.
type Class string

// Address is a TCP address in the form IP:port.
type Address string

// Resource identifies what an instance may own: the slots of a server or the
// stewardship of the floor of a service.
type Resource string

// ServerResource returns the resource of the slots of a server.
func ServerResource(id ServerID) Resource { return Resource("server/" + string(id)) }

// FloorResource returns the resource of the stewardship of the floor of a service. The
// floor is the number of servers that must stay in use.
func FloorResource(name ServiceName) Resource { return Resource("floor/" + string(name)) }

// Version is the number of a configuration document. A later document has a higher one.
type Version uint64

// Revision is the number of a state of the platform's listing or store. A later state of
// the same era has a higher one.
type Revision uint64

// Digest is the SHA-256 digest of a document in lower-case hexadecimal.
type Digest string

// Slots is the number of requests that a server may handle at the same time.
type Slots int

// Conns is a number of open connections to a server.
type Conns int

// Servers is a number of servers.
type Servers int

// Key is the idempotency key that a caller sends with a protected request.
type Key string

package quota

import (
	"hash/fnv"
	"time"

	"galenaridge/core/fleet"
)

//go:generate ../../.tools/enumer -type=Mode,Reason -transform=kebab -text -yaml=false -output=enums_enumer.go

// Limit is the quota of a customer over all instances. Without a rate there is no limit.
type Limit struct {
	Customer      fleet.Customer
	RatePerSecond float64
	Burst         float64
}

// Bounds state how exactly the quotas of all customers are kept. In any window, the
// admitted requests of a customer must not exceed
// (rate x window + burst) x (1 + Overage) + Tolerance. A Window of zero means that there
// are no quotas.
type Bounds struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64
}

// Key identifies a customer in reports: the FNV-1a hash of its name.
type Key uint32

// KeyOf returns the key of a customer.
func KeyOf(customer fleet.Customer) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer))
	return Key(h.Sum32())
}

// Sequence numbers the reports of one process.
type Sequence uint32

// Use is the use of a customer as one instance reports it.
type Use struct {
	Key Key
	// Total is the number of requests admitted since the start of the process. A lost
	// report loses nothing, since a later one contains the same requests.
	Total uint64
	// Window is the number of requests admitted in the last window.
	Window uint32
	// Reserved is what the sender leaves to instances that are out of contact with it.
	Reserved uint32
	// Known is what all instances admitted in the last window as far as the sender knows, in
	// parts of the window from the oldest to the latest. It is empty in most reports: only
	// new instances need it, and those that admit requests although they are not active, which
	// get no reports of each other.
	Known []uint32
}

// ProfileParts is the number of parts in Use.Known.
const ProfileParts = 5

// Ack states that the sender received a report of another instance.
type Ack struct {
	Instance InstanceKey
	Sequence Sequence
}

// InstanceKey identifies an instance in acknowledgements: the FNV-1a hash of its id.
type InstanceKey uint32

// InstanceKeyOf returns the key of an instance.
func InstanceKeyOf(id fleet.InstanceID) InstanceKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return InstanceKey(h.Sum32())
}

// Report is what an instance reports to the others that admit requests.
type Report struct {
	// Sequence is zero for a report that needs no acknowledgement.
	Sequence Sequence
	// Complete is set if the sender knows the use of the whole last window.
	Complete bool
	// Admitting is the number of instances that admit requests, as far as the sender knows.
	Admitting int
	// Minority is set if the sender is not in contact with most of the fleet.
	Minority bool
	// Leaving is set if the sender no longer admits requests without asking the others
	// first.
	Leaving bool
	Acks    []Ack
	Uses    []Use
}

// IsZero reports whether the report is absent, as from an instance without quotas.
func (r Report) IsZero() bool { return r.Sequence == 0 && len(r.Uses) == 0 && len(r.Acks) == 0 }

// Mode is what an instance knows about the others that admit requests.
type Mode uint8

const (
	// Connected means that all others are in contact with this instance, or are known to
	// be out of contact with most of the fleet.
	Connected Mode = iota
	// Contested means that another instance is out of contact with this one but in
	// contact with a third.
	Contested
	// Isolated means that this instance may be out of contact with most of the fleet.
	Isolated
)

// Reason is why a request was refused.
type Reason uint8

const (
	// Admitted is the reason of requests that were not refused.
	Admitted Reason = iota
	// LimitReached means that the customer used its limit.
	LimitReached
	// PartReached means that this instance used its part of what is left before the others
	// could know it.
	PartReached
	// ShareReached means that this instance is out of contact and used its share.
	ShareReached
	// Stale means that the knowledge of the use of others is too old, as after a freeze.
	Stale
	// FleetUnknown means that this instance has not heard from any other one since its start.
	FleetUnknown
)

// Decision is the result of an admission with the numbers that decided.
type Decision struct {
	OK         bool
	Reason     Reason
	RetryAfter time.Duration
	// Own and Known are the use of this instance and of all instances in the last window.
	Own   float64
	Known float64
	// Limit is what all instances may admit in a window, Share what this one may.
	Limit float64
	Share float64
}

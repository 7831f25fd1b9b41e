package member

import (
	"time"

	"galenaridge/core/fleet"
)

// Random gives random numbers; *math/rand/v2.Rand is one.
type Random interface {
	Uint64() uint64
}

// Options set up a State. Zero durations take the defaults.
type Options struct {
	// ID, Domain, Peer and Caller describe this instance.
	ID     fleet.InstanceID
	Domain fleet.Domain
	Peer   fleet.Address
	Caller fleet.Address
	// Contacts are peer addresses from the settings.
	Contacts []fleet.Address
	// Random draws incarnations and gossip targets.
	Random Random
	// HeartbeatEvery is the interval of heartbeats to each witness.
	HeartbeatEvery time.Duration
	// LeaseTime is the life of a lease from the sending of a heartbeat. It must
	// be the same on all instances.
	LeaseTime time.Duration
}

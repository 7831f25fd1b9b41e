package client

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// Defaults of the options.
const (
	defaultDeadline           = 2 * time.Second
	defaultFirstAddressShare  = 0.8
	defaultMaxConnsPerAddress = 512
	defaultMaxResponseBytes   = 8 << 20
)

// Options configures a Client.
type Options struct {
	// Entries are instance addresses from which assignments are requested.
	Entries []fleet.Address
	// Domain is the failure domain whose instances are preferred.
	Domain fleet.Domain
	// Deadline bounds requests whose context has none; zero means 2 s.
	Deadline time.Duration
	// FirstAddressShare is the share of unprotected requests, from 0 to 1, that go
	// to the first address of an assignment; the others are spread over its other
	// addresses. Zero means 0.8.
	FirstAddressShare float64
	// MaxConnsPerAddress bounds the connections to one address; zero means 512.
	MaxConnsPerAddress int
	// MaxResponseBytes bounds the body of a response; zero means 8 MiB.
	MaxResponseBytes int
	// DialAddresses maps an address to the address to dial instead, for example the
	// address of a proxy.
	DialAddresses map[fleet.Address]fleet.Address
	// Seed makes the choice of addresses repeatable; zero means a random seed.
	Seed uint64
	// Clock is the real clock if nil.
	Clock clockwork.Clock
}

var errNoEntries = eris.New("a client needs at least one entry address")

// withDefaults returns the options with defaults in place of zero values. It fails
// if there is no entry address.
func (o Options) withDefaults() (Options, error) {
	if len(o.Entries) == 0 {
		return o, errNoEntries
	}
	setDefault(&o.Deadline, defaultDeadline)
	setDefault(&o.FirstAddressShare, defaultFirstAddressShare)
	setDefault(&o.MaxConnsPerAddress, defaultMaxConnsPerAddress)
	setDefault(&o.MaxResponseBytes, defaultMaxResponseBytes)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o, nil
}

func setDefault[T comparable](to *T, value T) {
	var zero T
	if *to == zero {
		*to = value
	}
}

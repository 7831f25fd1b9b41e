package client

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
)

// Defaults of the options.
const (
	defaultDeadline   = 2 * time.Second
	defaultFirstShare = 0.8
	defaultConns      = 512
	defaultMaxBody    = 8 << 20
)

// Options says how a client reaches its fleet.
type Options struct {
	// Entries are addresses of instances; any of them gives an assignment.
	Entries []fleet.Address
	// Domain is the failure domain whose instances are preferred.
	Domain fleet.Domain
	// Deadline bounds requests whose context has none; zero means 2 s.
	Deadline time.Duration
	// FirstAddressShare of the requests that are not protected goes to the first
	// address of an assignment and the others to the rest; zero means 0.8.
	FirstAddressShare float64
	// MaxConnsPerAddress bounds the connections to one address; zero means 512.
	MaxConnsPerAddress int
	// MaxResponseBytes is the largest body that is accepted, in bytes; zero means 8 MiB.
	MaxResponseBytes int
	// Via maps an address to the one to dial instead.
	Via map[fleet.Address]fleet.Address
	// Seed makes the choice of addresses repeatable; zero draws one.
	Seed uint64
	// Clock is the real one if it is nil.
	Clock clockwork.Clock
}

var errNoEntries = eris.New("a client needs at least one entry address")

// withDefaults returns the options with each unset one at its default.
func (o Options) withDefaults() (Options, error) {
	if len(o.Entries) == 0 {
		return o, errNoEntries
	}
	setDefault(&o.Deadline, defaultDeadline)
	setDefault(&o.FirstAddressShare, defaultFirstShare)
	setDefault(&o.MaxConnsPerAddress, defaultConns)
	setDefault(&o.MaxResponseBytes, defaultMaxBody)
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

package health

import (
	"time"

	"galenaridge/core/fleet"
)

// Options configures the detection for one service.
type Options struct {
	Service fleet.ServiceName
	Detect  fleet.Preference
	// Deadline is the service's largest deadline.
	Deadline time.Duration
}

// Reading is what the owner knows about one of its servers at a tick.
type Reading struct {
	Server   fleet.ServerID
	Snapshot Snapshot
}

// State decides about the owned servers of one service. It belongs to the
// control goroutine.
type State struct{}

// New returns a state without servers.
func New(options Options) *State { return &State{} }

// Effects lists what the control goroutine has to carry out.
type Effects struct {
	// Wants lists servers that now need a permit.
	Wants []Wish
	// Returns lists servers whose permits or wishes are given back.
	Returns []fleet.ServerID
	// Probes lists servers to probe.
	Probes []Probe
	// Releases lists servers that only this instance cannot reach; their
	// ownership goes to the next candidate.
	Releases []fleet.ServerID
	// Trials lists servers whose trial begins.
	Trials []fleet.ServerID
}

// Wish asks the steward for the permit to eject a server.
type Wish struct {
	Server fleet.ServerID
	// Badness orders wishes; the worst servers are ejected first.
	Badness float64
}

// Probe asks to probe a server.
type Probe struct {
	Server fleet.ServerID
	// Peer asks a peer to probe as well.
	Peer bool
}

// Observe takes one reading for each owned server; servers without a reading
// are forgotten. Taking counts the servers of the service that take work, as
// far as known. It is called about every 50 ms.
func (s *State) Observe(now time.Time, readings []Reading, taking fleet.Servers) Effects {
	return Effects{}
}

// Baseline takes the recent median latency of the whole service.
func (s *State) Baseline(now time.Time, median time.Duration) {}

// Granted records that a server may be ejected until the permit expires.
func (s *State) Granted(now time.Time, server fleet.ServerID) Effects { return Effects{} }

// Denied records that a server may not be ejected at present.
func (s *State) Denied(now time.Time, server fleet.ServerID) Effects { return Effects{} }

// Expired records that the permit of a server ended.
func (s *State) Expired(now time.Time, server fleet.ServerID) Effects { return Effects{} }

// Probed records the result of a probe.
func (s *State) Probed(now time.Time, server fleet.ServerID, by Observer, reachable bool) Effects {
	return Effects{}
}

// Drain records that a server announced that it leaves.
func (s *State) Drain(now time.Time, server fleet.ServerID) Effects { return Effects{} }

// Publish returns an immutable copy of the conditions.
func (s *State) Publish() View { return View{} }

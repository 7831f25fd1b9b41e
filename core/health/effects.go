package health

import "galenaridge/core/fleet"

// Reading is what the owner knows about one of its servers at a tick.
type Reading struct {
	Server   fleet.ServerID
	Snapshot Snapshot
}

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

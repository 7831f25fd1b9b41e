package health

import "galenaridge/core/fleet"

// Reading is what the owner knows about one of its servers at a tick.
type Reading struct {
	Server   fleet.ServerID
	Snapshot Snapshot
}

// Effects lists what the control goroutine has to carry out.
type Effects struct {
	// EjectionRequests lists servers that now need a permit.
	EjectionRequests []EjectionRequest
	// PermitReleases lists servers whose permits or wishes are given back.
	PermitReleases []fleet.ServerID
	// Probes lists servers to probe.
	Probes []Probe
	// OwnershipReleases lists servers that only this instance cannot reach; their
	// ownership goes to the next candidate.
	OwnershipReleases []fleet.ServerID
	// TrialStarts lists servers whose trial begins.
	TrialStarts []fleet.ServerID
}

// EjectionRequest asks the steward for the permit to eject a server.
type EjectionRequest struct {
	Server fleet.ServerID
	// Severity orders wishes; the worst servers are ejected first.
	Severity float64
}

// Probe asks to probe a server.
type Probe struct {
	Server fleet.ServerID
	// WithPeer asks a peer to probe as well.
	WithPeer bool
}

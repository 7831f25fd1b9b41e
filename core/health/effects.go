package health

import "galenaridge/core/fleet"

// Reading holds the counters of one owned server at a tick.
type Reading struct {
	Server   fleet.ServerID
	Snapshot Snapshot
}

// Effects lists the actions that the control goroutine has to carry out.
type Effects struct {
	// EjectionRequests lists servers that now need a permit.
	EjectionRequests []EjectionRequest
	// PermitReleases lists servers whose permits or ejection requests are
	// released.
	PermitReleases []fleet.ServerID
	// Probes lists servers to probe.
	Probes []Probe
	// OwnershipReleases lists servers that a peer can reach and this instance
	// cannot; their ownership goes to the next candidate.
	OwnershipReleases []fleet.ServerID
	// TrialStarts lists servers whose trial starts.
	TrialStarts []fleet.ServerID
}

// EjectionRequest requests the permit to eject a server from the steward.
type EjectionRequest struct {
	Server fleet.ServerID
	// Severity orders requests: servers with the highest severity are ejected
	// first.
	Severity float64
}

// Probe requests a probe of a server by its owner.
type Probe struct {
	Server fleet.ServerID
	// WithPeer requests a probe by a peer as well.
	WithPeer bool
}

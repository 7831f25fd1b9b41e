package gateway

import (
	"galenaridge/io/memory"
	"galenaridge/io/setting"
)

// defaultMemoryMB is the memory of the process if the settings do not state it: that of the
// smallest machine.
const defaultMemoryMB = 184

// newMemoryBudget returns the budget of all that peers can make the process hold.
func newMemoryBudget(s setting.Gateway, onShortage func()) *memory.Budget {
	bytes := s.Capacity.MemoryMB * 1e6
	if bytes <= 0 {
		bytes = defaultMemoryMB * 1e6
	}
	return memory.NewBudget(memory.Options{
		LimitBytes:   int(bytes * (s.Peers.MemoryShare + s.Peers.ReserveShare)),
		ReserveBytes: int(bytes * s.Peers.ReserveShare),
		OnShortage:   onShortage,
	})
}

// descriptorLimits are the largest numbers of connections; zero if they are not limited.
type descriptorLimits struct {
	callers, servers, directory, peers, operators int
}

// Shares of the descriptors that neither files nor callers use. Kept connections to the
// directory are as many as callers that use it.
const (
	serverShare    = 0.4
	directoryShare = 0.45
	peerShare      = 0.1
	operatorShare  = 0.025
	// minConns is the smallest limit of connections.
	minConns = 8
)

// newDescriptorLimits divides the descriptors of the process.
func newDescriptorLimits(s setting.Gateway) descriptorLimits {
	if s.Capacity.MaxDescriptors <= 0 {
		return descriptorLimits{}
	}
	usable := float64(max(s.Capacity.MaxDescriptors-s.Peers.ReservedDescriptors, 0))
	callers := usable * s.Peers.CallerShare
	others := usable - callers
	limit := func(share float64) int { return max(int(share), minConns) }
	return descriptorLimits{
		callers:   limit(callers),
		servers:   limit(others * serverShare),
		directory: limit(others * directoryShare),
		peers:     limit(others * peerShare),
		// Readiness checks and operators have a limit each.
		operators: limit(others * operatorShare),
	}
}

// freeMemory closes connections of callers that hold memory without progress.
func (p *Process) freeMemory() {
	if p.callerServer != nil {
		p.callerServer.FreeMemory()
	}
}

// freeDescriptors closes connections of callers that are idle or make no progress.
func (p *Process) freeDescriptors() {
	if p.callerServer != nil {
		p.callerServer.FreeDescriptors()
	}
}

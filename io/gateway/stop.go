package gateway

import (
	"context"
	"time"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/workset"
)

const (
	// maxAddressTTLs is the number of addressTTLs for which callers are still served
	// during a stop, since some callers keep addresses beyond the TTL.
	maxAddressTTLs = 3
	// killMargin is the part of the grace period that is left for the shutdown before
	// the process is killed.
	killMargin = 800 * time.Millisecond
	// minLeavingTime is how long an instance without callers announces that it is
	// leaving before it ends.
	minLeavingTime = 300 * time.Millisecond
	// stopPollInterval is the time between two checks for open connections during a
	// stop.
	stopPollInterval = 50 * time.Millisecond
	// shutdownTimeout bounds the closing of all servers.
	shutdownTimeout = 300 * time.Millisecond
)

// stop makes a planned stop: other instances take over the role of this one,
// callers are served until the addresses that they cached have expired, and then
// idle connections are closed. It returns when no connection and no request in
// flight is left, or killMargin before the end of the grace period.
func (p *Process) stop(ctx context.Context) {
	start := p.clock.Now()
	hasCallers := p.control.View().WorkingSet().Role() != workset.Idle || p.callerServer.OpenConnections() > 0
	deadline := start.Add(p.options.Settings.Bounds.GracePeriod - killMargin)
	addressesExpire := fleet.Earlier(start.Add(maxAddressTTLs*addressTTL), deadline)
	p.control.Stop(ctx, dispatch.StopPlan{LateAt: addressesExpire, EndsAt: deadline})
	closeIdleAt := start.Add(minLeavingTime)
	if hasCallers {
		closeIdleAt = fleet.Earlier(addressesExpire.Add(minLeavingTime), deadline)
	}
	for {
		now := p.clock.Now()
		if !now.Before(deadline) {
			return
		}
		if !now.Before(closeIdleAt) {
			p.callerServer.CloseIdleConnections()
			if p.callerServer.OpenConnections() == 0 && p.engine.InFlight() == 0 {
				return
			}
		}
		_ = p.clock.Sleep(ctx, stopPollInterval)
	}
}

// shutdown closes all servers and connections.
func (p *Process) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	p.callerServer.Close(ctx)
	for _, server := range p.httpServers {
		// Only idle connections of monitoring systems are left.
		_ = server.server.ShutdownWithContext(ctx)
	}
	_ = p.peerSocket.Close()
	p.serverPool.Close()
}

package gateway

import (
	"context"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/workset"
)

const (
	// stalePeriods is how many times callers may keep an answer of the directory
	// beyond its time.
	stalePeriods = 3
	// stopMargin is the time that is left before the kill.
	stopMargin = 800 * time.Millisecond
	// idleStop is how long an instance that serves nobody says that it leaves.
	idleStop = 300 * time.Millisecond
	// stopPoll is the interval of checks for callers during a stop.
	stopPoll = 50 * time.Millisecond
	// closeLimit bounds the end of the servers.
	closeLimit = 300 * time.Millisecond
)

// stop makes a planned stop: others take the place of this instance, callers
// are still served until their answers of the directory have run out, and no
// request in flight is cut.
func (p *Process) stop(ctx context.Context) {
	began := p.clock.Now()
	serving := p.control.View().WorkingSet().Role() != workset.Idle || p.callers.OpenConnections() > 0
	p.control.Stop(ctx)
	last := began.Add(p.options.Settings.Bounds.GracePeriod - stopMargin)
	leave := began.Add(idleStop)
	if serving {
		leave = fleet.Earlier(began.Add(stalePeriods*keepFor+idleStop), last)
	}
	for {
		now := p.clock.Now()
		if !now.Before(last) {
			return
		}
		if !now.Before(leave) {
			p.callers.CloseIdleConnections()
			if p.callers.OpenConnections() == 0 && p.engine.InFlight() == 0 {
				return
			}
		}
		_ = p.clock.Sleep(ctx, stopPoll)
	}
}

// shutdown ends all servers and connections.
func (p *Process) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	p.callers.Close(ctx)
	for _, w := range p.webs {
		// What is left are idle connections of monitors.
		_ = w.server.ShutdownWithContext(ctx)
	}
	_ = p.link.Close()
	p.servers.Close()
}

package process

import (
	"context"
	"time"

	"galenaridge/core/control"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
)

const (
	// defaultDrain is used while no configuration is in force.
	defaultDrain = 5 * time.Second
	// settleMargin lets the last callers that follow an old assignment arrive.
	settleMargin = 500 * time.Millisecond
	// finishTimeout bounds the wait for requests in flight; deadlines of
	// requests are shorter.
	finishTimeout = 30 * time.Second
	// handoverTimeout bounds one batch of records.
	handoverTimeout = 2 * time.Second
	// handoverRecords and handoverBytes keep a batch below the largest message
	// between instances.
	handoverRecords = 1000
	handoverBytes   = 2 << 20
	// leaveGossip lets the last state reach the witnesses before the exit.
	leaveGossip = time.Second
)

// stop makes a planned stop: it waits until callers have dropped their
// assignments, finishes the requests in flight, and hands over the records.
func (p *Process) stop() {
	ctx := context.Background()
	p.options.Log.Info("planned stop begins")
	p.engine.SetStopping()
	_ = p.control.Leave(ctx)
	p.sleep(p.drainTime())
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.options.Log.WithError(err).Warn("callers were still connected at the end of the planned stop")
	}
	// Starts end before the wait, so that no request begins after it, which the
	// exit would interrupt.
	ledger := p.engine.StopProtected()
	p.awaitIdle(ctx)
	successor := p.handOver(ctx, ledger)
	_ = p.control.FinishLeaving(ctx, successor)
	p.sleep(leaveGossip)
}

func (p *Process) sleep(d time.Duration) { <-p.options.Clock.After(d) }

func (p *Process) drainTime() time.Duration {
	if p.options.Settings.Drain > 0 {
		return p.options.Settings.Drain
	}
	if life := p.control.View().Config.Document().Limits.AssignmentTTL; life > 0 {
		return life + settleMargin
	}
	return defaultDrain
}

// idlePoll is the interval of checks for requests in flight during a stop.
const idlePoll = 20 * time.Millisecond

// awaitIdle waits until no request of a caller or a peer is in flight.
func (p *Process) awaitIdle(ctx context.Context) {
	for p.engine.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(idlePoll):
		}
	}
}

// handOver gives the records to a live member, of the same failure domain if
// there is one, and returns it; zero if none took them.
func (p *Process) handOver(ctx context.Context, ledger *once.Ledger) fleet.Member {
	batches := ledger.Archive().Export(p.options.Clock.Now(), once.BatchLimit{Records: handoverRecords, Bytes: handoverBytes})
	for _, to := range successors(p.control.View()) {
		accepted := true
		for _, batch := range batches {
			call, cancel := context.WithTimeout(ctx, handoverTimeout)
			err := p.peers.Handover(call, to, batch)
			cancel()
			if err != nil {
				p.options.Log.WithError(err).WithField("peer", to.Member.String()).Warn("records were not handed over")
				accepted = false
				break
			}
		}
		if accepted {
			p.options.Log.WithField("peer", to.Member.String()).Info("records handed over")
			return to.Member
		}
	}
	return fleet.Member{}
}

// maxSuccessors bounds how many members are asked to take the records.
const maxSuccessors = 3

// successors returns the live members that may take the records.
func successors(view *control.View) []member.Peer {
	self := view.Members.Self()
	var near, far []member.Peer
	for _, info := range view.Members.Members() {
		if info.Member == self.Member || info.Status != member.Active || info.Suspected {
			continue
		}
		to := member.Peer{Member: info.Member, Address: info.PeerAddress}
		if info.Domain == self.Domain {
			near = append(near, to)
		} else {
			far = append(far, to)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxSuccessors)]
}

// shutdownTimeout bounds the end of the servers after a planned stop.
const shutdownTimeout = 2 * time.Second

// shutdown ends all servers and connections.
func (p *Process) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = p.callers.Shutdown(ctx)
	p.answers.Stop(ctx)
	_ = p.operator.Shutdown(ctx)
	p.peers.Close()
	p.servers.Close()
}

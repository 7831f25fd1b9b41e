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
	// defaultDrain is the drain time while no configuration is active.
	defaultDrain = 5 * time.Second
	// assignmentMargin is added to the TTL of assignments, so that requests sent at
	// the end of an assignment's TTL still arrive in time.
	assignmentMargin = 500 * time.Millisecond
	// inFlightTimeout limits the wait for requests in flight. It is longer than the
	// deadlines of requests.
	inFlightTimeout = 30 * time.Second
	// handoverTimeout limits the transfer of one batch of records.
	handoverTimeout = 2 * time.Second
	// batchRecords and batchBytes limit a batch of records, so that it fits in the
	// largest message between instances.
	batchRecords = 1000
	batchBytes   = 2 << 20
	// leaveGossipTime is the wait before the exit, in which the final member record
	// reaches the witnesses.
	leaveGossipTime = time.Second
)

// stop performs a planned stop: it waits until callers have dropped their
// assignments, completes the requests in flight, and hands over the at-most-once
// records.
func (p *Process) stop() {
	ctx := context.Background()
	p.options.Log.Info("planned stop begins")
	p.engine.SetStopping()
	_ = p.control.Leave(ctx)
	p.sleep(p.drainTime())
	ctx, cancel := context.WithTimeout(ctx, inFlightTimeout)
	defer cancel()
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.options.Log.WithError(err).Warn("callers were still connected at the end of the planned stop")
	}
	// No protected request may start from here on, since a request that started
	// after the wait below would be interrupted by the exit.
	ledger := p.engine.StopProtected()
	p.awaitIdle(ctx)
	successor := p.handOver(ctx, ledger)
	_ = p.control.FinishLeaving(ctx, successor)
	p.sleep(leaveGossipTime)
}

func (p *Process) sleep(d time.Duration) { <-p.options.Clock.After(d) }

// drainTime returns how long a planned stop waits for callers to drop their
// assignments.
func (p *Process) drainTime() time.Duration {
	if p.options.Settings.Drain > 0 {
		return p.options.Settings.Drain
	}
	if ttl := p.control.View().Config.Document().Limits.AssignmentTTL; ttl > 0 {
		return ttl + assignmentMargin
	}
	return defaultDrain
}

// idlePollInterval is the time between two checks for requests in flight.
const idlePollInterval = 20 * time.Millisecond

// awaitIdle waits until no request of a caller or a peer is in flight, or the
// context ends.
func (p *Process) awaitIdle(ctx context.Context) {
	for p.engine.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(idlePollInterval):
		}
	}
}

// handOver transfers the records to the first successor that accepts all of them
// and returns that member. It returns the zero member if no successor does.
func (p *Process) handOver(ctx context.Context, ledger *once.Ledger) fleet.Member {
	batches := ledger.Archive().Export(p.options.Clock.Now(), once.BatchLimit{Records: batchRecords, Bytes: batchBytes})
	for _, successor := range successors(p.control.View()) {
		accepted := true
		for _, batch := range batches {
			batchCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
			err := p.peerClient.Handover(batchCtx, successor, batch)
			cancel()
			if err != nil {
				p.options.Log.WithError(err).WithField("peer", successor.Member.String()).Warn("records were not handed over")
				accepted = false
				break
			}
		}
		if accepted {
			p.options.Log.WithField("peer", successor.Member.String()).Info("records handed over")
			return successor.Member
		}
	}
	return fleet.Member{}
}

// maxSuccessors is the largest number of members to which a handover is attempted.
const maxSuccessors = 3

// successors returns live members that may receive the records. Members of this
// instance's failure domain come first.
func successors(view *control.View) []member.Peer {
	self := view.Members.Self()
	var local, remote []member.Peer
	for _, info := range view.Members.Members() {
		if info.Member == self.Member || info.Status != member.Active || info.Suspected {
			continue
		}
		to := member.Peer{Member: info.Member, Address: info.PeerAddress}
		if info.Domain == self.Domain {
			local = append(local, to)
		} else {
			remote = append(remote, to)
		}
	}
	candidates := append(local, remote...)
	return candidates[:min(len(candidates), maxSuccessors)]
}

// shutdownTimeout limits the shutdown of the servers after a planned stop.
const shutdownTimeout = 2 * time.Second

// shutdown stops all servers and closes all connections.
func (p *Process) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = p.callerServer.Shutdown(ctx)
	p.peerServer.Stop(ctx)
	_ = p.operatorServer.Shutdown(ctx)
	p.peerClient.Close()
	p.upstreamClient.Close()
}

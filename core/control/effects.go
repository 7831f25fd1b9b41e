package control

import (
	"context"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/health"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

// callAsync runs call on another goroutine with a timeout, and then runs onReply
// with its result on the control goroutine.
func callAsync[T any](n *node, timeout time.Duration, call func(context.Context) (T, error), onReply func(*node, time.Time, T, error)) {
	n.loop.calls.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		reply, err := call(ctx)
		n.loop.submit(n.ctx, func(n *node, now time.Time) { onReply(n, now, reply, err) })
	})
}

// applyMemberEffects executes the effects of a membership command.
func (n *node) applyMemberEffects(effects member.Effects) {
	for _, out := range effects.Heartbeats {
		n.sendHeartbeat(out)
	}
	for _, out := range effects.SyncRequests {
		n.sendSync(out)
	}
	for _, out := range effects.FenceRequests {
		n.sendFence(out)
	}
	for _, event := range effects.Events {
		n.handleMemberEvent(event)
	}
	n.changed = true
}

func (n *node) sendHeartbeat(out member.OutgoingHeartbeat) {
	type replyWithAge struct {
		reply member.HeartbeatReply
		age   PlatformAge
	}
	age := n.platformAge(out.SentAt)
	call := func(ctx context.Context) (replyWithAge, error) {
		reply, age, err := n.options.Peers.Heartbeat(ctx, out, age)
		return replyWithAge{reply: reply, age: age}, err
	}
	callAsync(n, callTimeout, call, func(n *node, now time.Time, result replyWithAge, err error) {
		if err != nil {
			n.applyMemberEffects(n.members.HandleHeartbeatFailure(now, out))
			return
		}
		n.recordPeerConfig(now, result.reply.Gossip.Config)
		n.recordPlatformAge(out.SentAt, result.age)
		n.applyMemberEffects(n.members.HandleHeartbeatReply(now, out, result.reply))
	})
}

func (n *node) sendSync(out member.OutgoingSync) {
	call := func(ctx context.Context) (member.SyncReply, error) { return n.options.Peers.Sync(ctx, out) }
	callAsync(n, callTimeout, call, func(n *node, now time.Time, reply member.SyncReply, err error) {
		if err != nil {
			n.members.HandleSyncFailure(now, out)
			return
		}
		n.applyMemberEffects(n.members.HandleSyncReply(now, out, reply))
	})
}

func (n *node) sendFence(out member.OutgoingFenceRequest) {
	call := func(ctx context.Context) (member.FenceReply, error) { return n.options.Peers.Fence(ctx, out) }
	callAsync(n, callTimeout, call, func(n *node, now time.Time, reply member.FenceReply, err error) {
		if err != nil {
			n.applyMemberEffects(n.members.HandleFenceFailure(now, out))
			return
		}
		n.applyMemberEffects(n.members.HandleFenceReply(now, out, reply))
	})
}

// handleMemberEvent forwards an event to Options.Events, and fetches the documents
// of a peer that announced newer ones.
func (n *node) handleMemberEvent(event member.Event) {
	n.options.Events.MemberEvent(event)
	if event.Kind == member.EventConfigNewer {
		n.fetchDocuments(event)
	}
}

// applyOwnershipEffects executes the effects of an ownership command.
func (n *node) applyOwnershipEffects(now time.Time, effects ownership.Effects) {
	for _, out := range effects.Claims {
		n.sendClaim(out)
	}
	for _, resource := range effects.Acquired {
		n.acquireResource(now, resource)
	}
	for _, resource := range effects.Drain {
		n.drainResource(now, resource)
	}
	for _, resource := range effects.Lost {
		n.dropResource(resource)
	}
	if len(effects.DiscoveredRecords) > 0 {
		n.applyMemberEffects(n.members.MergeRecords(now, effects.DiscoveredRecords))
	}
	if len(effects.Acquired)+len(effects.Drain)+len(effects.Lost) > 0 {
		n.ownersStale = true
		n.options.Events.OwnershipChanged(effects.Acquired, effects.Drain, effects.Lost)
		n.changed = true
	}
}

func (n *node) sendClaim(out ownership.OutgoingClaim) {
	call := func(ctx context.Context) (ownership.ClaimReply, error) { return n.options.Peers.Claim(ctx, out) }
	callAsync(n, callTimeout, call, func(n *node, now time.Time, reply ownership.ClaimReply, err error) {
		if err != nil {
			n.ownership.HandleClaimFailure(now, out)
			return
		}
		n.applyOwnershipEffects(now, n.ownership.HandleClaimReply(now, out, reply))
	})
}

// acquireResource starts the use of a resource that this instance now owns.
func (n *node) acquireResource(now time.Time, resource fleet.Resource) {
	if name, isFloor := floorService(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = floor.NewSteward(s.config.Floor)
			s.steward.Activate(now)
			s.dirty = true
		}
		return
	}
	listed, s := n.lookupServer(resource)
	if s == nil {
		return
	}
	n.usePeriods[listed.ID] = &usePeriod{service: s}
	s.addServer(now, listed)
}

// drainResource stops new requests on a resource, and reports it to the ownership
// as drained when the requests in flight have ended.
func (n *node) drainResource(now time.Time, resource fleet.Resource) {
	if name, isFloor := floorService(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = nil
			s.dirty = true
		}
		n.ownership.HandleDrained(now, resource)
		return
	}
	server := serverID(resource)
	period := n.usePeriods[server]
	if period == nil {
		n.ownership.HandleDrained(now, resource)
		return
	}
	drained := period.service.pool.Drain(server)
	n.loop.calls.Go(func() {
		select {
		case <-drained:
			n.loop.submit(n.ctx, func(n *node, now time.Time) { n.finishDraining(now, resource, period) })
		case <-n.ctx.Done():
		}
	})
}

// finishDraining ends the use of a resource whose requests in flight have ended.
// It does nothing if the period of use is not the current one, which happens if
// the resource was lost, and perhaps acquired again, in the meantime.
func (n *node) finishDraining(now time.Time, resource fleet.Resource, period *usePeriod) {
	if n.usePeriods[serverID(resource)] != period {
		return
	}
	n.dropResource(resource)
	n.ownership.HandleDrained(now, resource)
}

// dropResource ends the use of a resource immediately.
func (n *node) dropResource(resource fleet.Resource) {
	if name, isFloor := floorService(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = nil
			s.dirty = true
		}
		return
	}
	server := serverID(resource)
	if period := n.usePeriods[server]; period != nil {
		delete(n.usePeriods, server)
		period.service.removeServer(server)
	}
	n.options.Prober.CloseConnections(server)
	n.changed = true
}

const (
	serverPrefix = "server/"
	floorPrefix  = "floor/"
)

func floorService(resource fleet.Resource) (fleet.ServiceName, bool) {
	name, found := strings.CutPrefix(string(resource), floorPrefix)
	return fleet.ServiceName(name), found
}

// serverID returns the server that a resource represents.
func serverID(resource fleet.Resource) fleet.ServerID {
	return fleet.ServerID(strings.TrimPrefix(string(resource), serverPrefix))
}

// lookupServer returns the listed server that a resource represents and its
// service; the service is nil if the server is not listed.
func (n *node) lookupServer(resource fleet.Resource) (fleet.ListedServer, *service) {
	name, found := strings.CutPrefix(string(resource), serverPrefix)
	if !found {
		return fleet.ListedServer{}, nil
	}
	listed, known := n.listedServers[fleet.ServerID(name)]
	if !known {
		return fleet.ListedServer{}, nil
	}
	return listed, n.services[listed.Service]
}

// applyHealthEffects executes the effects of a health command.
func (n *node) applyHealthEffects(now time.Time, s *service, effects health.Effects) {
	if len(effects.EjectionRequests) > 0 || len(effects.PermitReleases) > 0 {
		s.reportDue = true
	}
	for _, probe := range effects.Probes {
		n.probeServer(s, probe)
	}
	for _, server := range effects.OwnershipReleases {
		n.applyOwnershipEffects(now, n.ownership.Release(now, fleet.ServerResource(server), releaseHoldOff))
	}
}

// releaseHoldOff keeps this instance from claiming a server again right after it
// released the server because its own path to it is broken.
const releaseHoldOff = 30 * time.Second

// applyPermitChanges reports granted, denied and expired permits to the failure
// detection.
func (n *node) applyPermitChanges(now time.Time, s *service, changes floor.PermitChanges) {
	for _, server := range changes.Granted {
		n.applyHealthEffects(now, s, s.detector.PermitGranted(now, server))
	}
	if len(changes.Granted) > 0 {
		s.updatePool()
	}
	for _, server := range changes.Denied {
		n.applyHealthEffects(now, s, s.detector.PermitDenied(now, server))
	}
	for _, server := range changes.Expired {
		n.applyHealthEffects(now, s, s.detector.PermitExpired(now, server))
	}
}

// sendReport sends the usable servers, ejection requests and latency to the
// steward of the service, which may be this instance.
func (n *node) sendReport(now time.Time, s *service) {
	steward, known := n.ownership.View().ExpectedOwner(fleet.FloorResource(s.config.Name))
	if !known {
		return
	}
	view := s.detector.View()
	ejectionRequests := make([]floor.EjectionRequest, 0, len(view.EjectionRequests()))
	for _, request := range view.EjectionRequests() {
		ejectionRequests = append(ejectionRequests, floor.EjectionRequest{Server: request.Server, Severity: request.Severity})
	}
	message := s.permitHolder.BuildReport(now, view.Usable(), ejectionRequests, view.MedianLatency())
	s.reportDue = false
	s.reportedAt = now
	if steward.Member == n.self {
		n.handleReportReply(now, s, n.handleReport(now, s.config.Name, message))
		return
	}
	s.reportInFlight = true
	holder := s.permitHolder
	to := member.Peer{Member: steward.Member, Address: steward.PeerAddress}
	name := s.config.Name
	call := func(ctx context.Context) (floor.Reply, error) { return n.options.Peers.Report(ctx, to, name, message) }
	callAsync(n, callTimeout, call, func(n *node, now time.Time, reply floor.Reply, err error) {
		s.reportInFlight = false
		// A reply to an earlier incarnation refers to the sequence numbers and
		// permits of that incarnation.
		if err == nil && s.permitHolder == holder {
			n.handleReportReply(now, s, reply)
		}
	})
}

func (n *node) handleReportReply(now time.Time, s *service, reply floor.Reply) {
	if !reply.Decided {
		return
	}
	if reply.MedianLatency > 0 {
		s.detector.SetBaseline(now, reply.MedianLatency)
	}
	n.applyPermitChanges(now, s, s.permitHolder.HandleReply(now, reply))
	s.updateConditions(n)
}

// handleReport passes a report to the steward and returns its reply. The reply has
// only the sequence number if this instance is not the steward or has no lease.
func (n *node) handleReport(now time.Time, name fleet.ServiceName, report floor.Report) floor.Reply {
	s := n.services[name]
	if s == nil || s.steward == nil || !n.members.View().LeaseValid(now) {
		return floor.Reply{Sequence: report.Sequence}
	}
	s.steward.ExtendLease(n.members.View().LeaseUntil())
	s.dirty = true
	return s.steward.HandleReport(now, report)
}

// probeServer checks whether a server is reachable from this instance and, if the
// probe requests it, from a peer.
func (n *node) probeServer(s *service, probe health.Probe) {
	owned, held := s.ownedServers[probe.Server]
	if !held {
		return
	}
	listed := owned.Listed
	probeSelf := func(ctx context.Context) (bool, error) { return n.options.Prober.Reachable(ctx, listed), nil }
	callAsync(n, callTimeout, probeSelf, func(n *node, now time.Time, reachable bool, _ error) {
		n.applyHealthEffects(now, s, s.detector.RecordProbe(now, listed.ID, health.Self, reachable))
	})
	if !probe.WithPeer {
		return
	}
	peer, found := n.probePeer(listed)
	if !found {
		return
	}
	probePeer := func(ctx context.Context) (bool, error) { return n.options.Peers.Probe(ctx, peer, listed) }
	callAsync(n, callTimeout, probePeer, func(n *node, now time.Time, reachable bool, err error) {
		if err == nil {
			n.applyHealthEffects(now, s, s.detector.RecordProbe(now, listed.ID, health.Peer, reachable))
		}
	})
}

// probePeer returns the active instance, other than this one, that ranks highest
// among the candidates for the server.
func (n *node) probePeer(listed fleet.ListedServer) (member.Peer, bool) {
	for _, record := range n.ownership.View().Candidates(fleet.ServerResource(listed.ID)) {
		if record.Member != n.self && record.Status == member.Active {
			return member.Peer{Member: record.Member, Address: record.PeerAddress}, true
		}
	}
	return member.Peer{}, false
}

// handleServerDraining stops new requests to a server that announced that it is
// draining.
func (n *node) handleServerDraining(now time.Time, name fleet.ServiceName, server fleet.ServerID) {
	s := n.services[name]
	if s == nil {
		return
	}
	if _, held := s.ownedServers[server]; !held {
		return
	}
	n.applyHealthEffects(now, s, s.detector.MarkDraining(now, server))
	s.updateConditions(n)
}

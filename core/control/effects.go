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

// send runs a call to a peer outside of the control goroutine and brings its
// result back as a command.
func send[T any](n *node, timeout time.Duration, call func(context.Context) (T, error), done func(*node, time.Time, T, error)) {
	n.loop.senders.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		reply, err := call(ctx)
		n.loop.submit(n.ctx, func(n *node, now time.Time) { done(n, now, reply, err) })
	})
}

// runMember carries out the effects of a membership command.
func (n *node) runMember(effects member.Effects) {
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
		n.memberEvent(event)
	}
	n.changed = true
}

func (n *node) sendHeartbeat(out member.OutgoingHeartbeat) {
	type answer struct {
		reply member.HeartbeatReply
		age   PlatformAge
	}
	age := n.platformAge(out.SentAt)
	call := func(ctx context.Context) (answer, error) {
		reply, age, err := n.options.Peers.Heartbeat(ctx, out, age)
		return answer{reply: reply, age: age}, err
	}
	send(n, callTimeout, call, func(n *node, now time.Time, got answer, err error) {
		if err != nil {
			n.runMember(n.members.HandleHeartbeatFailure(now, out))
			return
		}
		n.notePeer(now, got.reply.Gossip.Config)
		n.notePlatform(out.SentAt, got.age)
		n.runMember(n.members.HandleHeartbeatReply(now, out, got.reply))
	})
}

func (n *node) sendSync(out member.OutgoingSync) {
	call := func(ctx context.Context) (member.SyncReply, error) { return n.options.Peers.Sync(ctx, out) }
	send(n, callTimeout, call, func(n *node, now time.Time, reply member.SyncReply, err error) {
		if err != nil {
			n.members.HandleSyncFailure(now, out)
			return
		}
		n.runMember(n.members.HandleSyncReply(now, out, reply))
	})
}

func (n *node) sendFence(out member.OutgoingFenceRequest) {
	call := func(ctx context.Context) (member.FenceReply, error) { return n.options.Peers.Fence(ctx, out) }
	send(n, callTimeout, call, func(n *node, now time.Time, reply member.FenceReply, err error) {
		if err != nil {
			n.runMember(n.members.HandleFenceFailure(now, out))
			return
		}
		n.runMember(n.members.HandleFenceReply(now, out, reply))
	})
}

// memberEvent passes an event on and fetches documents that a peer has newer.
func (n *node) memberEvent(event member.Event) {
	n.options.Events.MemberEvent(event)
	if event.Kind == member.EventConfigNewer {
		n.fetch(event)
	}
}

// runOwnership carries out the effects of an ownership command.
func (n *node) runOwnership(now time.Time, effects ownership.Effects) {
	for _, out := range effects.Claims {
		n.sendClaim(out)
	}
	for _, resource := range effects.Acquired {
		n.acquire(now, resource)
	}
	for _, resource := range effects.Drain {
		n.stop(now, resource)
	}
	for _, resource := range effects.Lost {
		n.lose(resource)
	}
	if len(effects.DiscoveredRecords) > 0 {
		n.runMember(n.members.MergeRecords(now, effects.DiscoveredRecords))
	}
	if len(effects.Acquired)+len(effects.Drain)+len(effects.Lost) > 0 {
		n.ownersStale = true
		n.options.Events.OwnershipChanged(effects.Acquired, effects.Drain, effects.Lost)
		n.changed = true
	}
}

func (n *node) sendClaim(out ownership.OutgoingClaim) {
	call := func(ctx context.Context) (ownership.ClaimReply, error) { return n.options.Peers.Claim(ctx, out) }
	send(n, callTimeout, call, func(n *node, now time.Time, reply ownership.ClaimReply, err error) {
		if err != nil {
			n.owners.HandleClaimFailure(now, out)
			return
		}
		n.runOwnership(now, n.owners.HandleClaimReply(now, out, reply))
	})
}

// acquire starts to use a resource.
func (n *node) acquire(now time.Time, resource fleet.Resource) {
	if name, isFloor := floorOf(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = floor.NewSteward(s.config.Floor)
			s.steward.Activate(now)
			s.dirty = true
		}
		return
	}
	listed, s := n.serverOf(resource)
	if s == nil {
		return
	}
	n.holds[listed.ID] = &hold{service: s}
	s.acquire(now, listed)
}

// stop ends new work on a resource and reports when work in flight has ended.
func (n *node) stop(now time.Time, resource fleet.Resource) {
	if name, isFloor := floorOf(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = nil
			s.dirty = true
		}
		n.owners.HandleDrained(now, resource)
		return
	}
	server := serverNamed(resource)
	h := n.holds[server]
	if h == nil {
		n.owners.HandleDrained(now, resource)
		return
	}
	drained := h.service.pool.Drain(server)
	n.loop.senders.Go(func() {
		select {
		case <-drained:
			n.loop.submit(n.ctx, func(n *node, now time.Time) { n.drained(now, resource, h) })
		case <-n.ctx.Done():
		}
	})
}

// drained ends the use of a resource whose work in flight has ended. A hold
// that was lost meanwhile is another one by now, if there is one.
func (n *node) drained(now time.Time, resource fleet.Resource, h *hold) {
	if n.holds[serverNamed(resource)] != h {
		return
	}
	n.lose(resource)
	n.owners.HandleDrained(now, resource)
}

// lose drops a resource at once.
func (n *node) lose(resource fleet.Resource) {
	if name, isFloor := floorOf(resource); isFloor {
		if s := n.services[name]; s != nil {
			s.steward = nil
			s.dirty = true
		}
		return
	}
	server := serverNamed(resource)
	if h := n.holds[server]; h != nil {
		delete(n.holds, server)
		h.service.drop(server)
	}
	n.options.Prober.CloseConnections(server)
	n.changed = true
}

const (
	serverPrefix = "server/"
	floorPrefix  = "floor/"
)

func floorOf(resource fleet.Resource) (fleet.ServiceName, bool) {
	name, found := strings.CutPrefix(string(resource), floorPrefix)
	return fleet.ServiceName(name), found
}

// serverNamed returns the server that a resource stands for.
func serverNamed(resource fleet.Resource) fleet.ServerID {
	return fleet.ServerID(strings.TrimPrefix(string(resource), serverPrefix))
}

// serverOf returns the server that a resource stands for, and its service; nil
// if it is not listed.
func (n *node) serverOf(resource fleet.Resource) (fleet.ListedServer, *service) {
	name, found := strings.CutPrefix(string(resource), serverPrefix)
	if !found {
		return fleet.ListedServer{}, nil
	}
	listed, known := n.servers[fleet.ServerID(name)]
	if !known {
		return fleet.ListedServer{}, nil
	}
	return listed, n.services[listed.Service]
}

// runHealth carries out the effects of a health command.
func (n *node) runHealth(now time.Time, s *service, effects health.Effects) {
	if len(effects.EjectionRequests) > 0 || len(effects.PermitReleases) > 0 {
		s.wishing = true
	}
	for _, probe := range effects.Probes {
		n.probe(s, probe)
	}
	for _, server := range effects.OwnershipReleases {
		n.runOwnership(now, n.owners.Release(now, fleet.ServerResource(server), releaseHoldOff))
	}
}

// releaseHoldOff keeps a server with a broken path from coming straight back.
const releaseHoldOff = 30 * time.Second

// applyPermits tells the detection which permits began and ended.
func (n *node) applyPermits(now time.Time, s *service, change floor.PermitChanges) {
	for _, server := range change.Granted {
		n.runHealth(now, s, s.health.PermitGranted(now, server))
	}
	if len(change.Granted) > 0 {
		s.updatePool()
	}
	for _, server := range change.Denied {
		n.runHealth(now, s, s.health.PermitDenied(now, server))
	}
	for _, server := range change.Expired {
		n.runHealth(now, s, s.health.PermitExpired(now, server))
	}
}

// report sends health and wishes to the steward of the service.
func (n *node) report(now time.Time, s *service) {
	steward, known := n.owners.View().ExpectedOwner(fleet.FloorResource(s.config.Name))
	if !known {
		return
	}
	view := s.health.View()
	wishes := make([]floor.EjectionRequest, 0, len(view.EjectionRequests()))
	for _, w := range view.EjectionRequests() {
		wishes = append(wishes, floor.EjectionRequest{Server: w.Server, Severity: w.Severity})
	}
	message := s.permits.BuildReport(now, view.Usable(), wishes, view.MedianLatency())
	s.wishing = false
	s.reportedAt = now
	if steward.Member == n.self {
		n.takeReply(now, s, n.receiveReport(now, s.config.Name, message))
		return
	}
	s.reporting = true
	permits := s.permits
	to := member.Peer{Member: steward.Member, Address: steward.PeerAddress}
	name := s.config.Name
	call := func(ctx context.Context) (floor.Reply, error) { return n.options.Peers.Report(ctx, to, name, message) }
	send(n, callTimeout, call, func(n *node, now time.Time, reply floor.Reply, err error) {
		s.reporting = false
		// The reply to a former incarnation names its sequences and permits.
		if err == nil && s.permits == permits {
			n.takeReply(now, s, reply)
		}
	})
}

func (n *node) takeReply(now time.Time, s *service, reply floor.Reply) {
	if !reply.Decided {
		return
	}
	if reply.MedianLatency > 0 {
		s.health.SetBaseline(now, reply.MedianLatency)
	}
	n.applyPermits(now, s, s.permits.HandleReply(now, reply))
	s.noteConditions(n)
}

// receiveReport answers a report if this instance is the steward and holds its
// lease.
func (n *node) receiveReport(now time.Time, name fleet.ServiceName, report floor.Report) floor.Reply {
	s := n.services[name]
	if s == nil || s.steward == nil || !n.members.View().LeaseValid(now) {
		return floor.Reply{Sequence: report.Sequence}
	}
	s.steward.ExtendLease(n.members.View().LeaseUntil())
	s.dirty = true
	return s.steward.HandleReport(now, report)
}

// probe reaches a server from here, and from a peer if asked to.
func (n *node) probe(s *service, wanted health.Probe) {
	owned, held := s.held[wanted.Server]
	if !held {
		return
	}
	listed := owned.Listed
	self := func(ctx context.Context) (bool, error) { return n.options.Prober.Reachable(ctx, listed), nil }
	send(n, callTimeout, self, func(n *node, now time.Time, reachable bool, _ error) {
		n.runHealth(now, s, s.health.RecordProbe(now, listed.ID, health.Self, reachable))
	})
	if !wanted.WithPeer {
		return
	}
	peer, found := n.probePeer(listed)
	if !found {
		return
	}
	ask := func(ctx context.Context) (bool, error) { return n.options.Peers.Probe(ctx, peer, listed) }
	send(n, callTimeout, ask, func(n *node, now time.Time, reachable bool, err error) {
		if err == nil {
			n.runHealth(now, s, s.health.RecordProbe(now, listed.ID, health.Peer, reachable))
		}
	})
}

// probePeer returns the instance that would own the server next.
func (n *node) probePeer(listed fleet.ListedServer) (member.Peer, bool) {
	for _, record := range n.owners.View().Candidates(fleet.ServerResource(listed.ID)) {
		if record.Member != n.self && record.Status == member.Active {
			return member.Peer{Member: record.Member, Address: record.PeerAddress}, true
		}
	}
	return member.Peer{}, false
}

// serverDraining ends new work on a server that announced that it leaves.
func (n *node) serverDraining(now time.Time, name fleet.ServiceName, server fleet.ServerID) {
	s := n.services[name]
	if s == nil {
		return
	}
	if _, held := s.held[server]; !held {
		return
	}
	n.runHealth(now, s, s.health.MarkDraining(now, server))
	s.noteConditions(n)
}

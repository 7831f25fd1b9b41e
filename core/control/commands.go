package control

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

// ErrStopped means that the control goroutine has ended or that the context
// ended before it ran the command.
var ErrStopped = errors.New("control loop has stopped")

// HandleHeartbeat answers a heartbeat of a peer.
func (l *Loop) HandleHeartbeat(ctx context.Context, message member.Heartbeat, age PlatformAge) (member.HeartbeatReply, PlatformAge, error) {
	type answer struct {
		reply member.HeartbeatReply
		age   PlatformAge
	}
	got, err := ask(ctx, l, func(n *node, now time.Time) answer {
		n.notePeer(now, message.Gossip.Config)
		n.notePlatform(now.Add(-hopAge), age)
		reply, effects := n.members.HandleHeartbeat(now, message)
		n.runMember(effects)
		return answer{reply: reply, age: n.platformAge(now)}
	})
	return got.reply, got.age, err
}

// HandleSync answers a full exchange of member records.
func (l *Loop) HandleSync(ctx context.Context, message member.SyncRequest) (member.SyncReply, error) {
	return ask(ctx, l, func(n *node, now time.Time) member.SyncReply {
		reply, effects := n.members.HandleSync(now, message)
		n.runMember(effects)
		return reply
	})
}

// HandleFence answers a request to vote that a member's lease has ended.
func (l *Loop) HandleFence(ctx context.Context, message member.FenceRequest) (member.FenceReply, error) {
	return ask(ctx, l, func(n *node, now time.Time) member.FenceReply {
		reply, effects := n.members.HandleFence(now, message)
		n.runMember(effects)
		return reply
	})
}

// HandleClaim answers a claim of resources.
func (l *Loop) HandleClaim(ctx context.Context, message ownership.Claim) (ownership.ClaimReply, error) {
	return ask(ctx, l, func(n *node, now time.Time) ownership.ClaimReply {
		reply, effects := n.owners.HandleClaim(now, message)
		n.runOwnership(now, effects)
		return reply
	})
}

// HandleReport answers an owner's report to the steward of a service.
func (l *Loop) HandleReport(ctx context.Context, service fleet.ServiceName, report floor.Report) (floor.Reply, error) {
	return ask(ctx, l, func(n *node, now time.Time) floor.Reply { return n.receiveReport(now, service, report) })
}

// OfferConfig offers a configuration document that was read from the platform
// or from a peer.
func (l *Loop) OfferConfig(ctx context.Context, document config.Document) (config.Decision, error) {
	return ask(ctx, l, func(n *node, now time.Time) config.Decision { return n.offerConfig(now, document) })
}

// OfferListing offers a list of processes that was read from the platform or
// from a peer.
func (l *Loop) OfferListing(ctx context.Context, listing fleet.Listing) error {
	return l.tell(ctx, func(n *node, now time.Time) { n.offerListing(now, listing) })
}

// RecordPlatformRead says that this instance has just read the platform.
func (l *Loop) RecordPlatformRead(ctx context.Context) error {
	return l.tell(ctx, func(n *node, now time.Time) { n.platformAt, n.readAt = now, now })
}

// ReportServerDraining says that a server announced on a response that it leaves. It
// does not wait; if the queue is full, the next response says it again.
func (l *Loop) ReportServerDraining(service fleet.ServiceName, server fleet.ServerID) {
	select {
	case l.commands <- func(n *node, now time.Time) { n.serverDraining(now, service, server) }:
	default:
	}
}

// Leave announces a planned stop: servers are released as successors claim
// them.
func (l *Loop) Leave(ctx context.Context) error {
	return l.tell(ctx, func(n *node, now time.Time) {
		n.leaving = true
		n.changed = true
		n.runMember(n.members.StartLeaving(now))
		n.syncMembers(now)
	})
}

// FinishLeaving announces that all work has ended and who answers for the records.
func (l *Loop) FinishLeaving(ctx context.Context, successor fleet.Member) error {
	return l.tell(ctx, func(n *node, now time.Time) {
		n.runMember(n.members.FinishLeaving(now, successor))
	})
}

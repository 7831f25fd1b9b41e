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

// ErrStopped means that the control goroutine has ended, or that the context
// ended before the command completed.
var ErrStopped = errors.New("control loop has stopped")

// HandleHeartbeat processes a heartbeat of a peer and returns the reply.
func (l *Loop) HandleHeartbeat(ctx context.Context, message member.Heartbeat, age PlatformAge) (member.HeartbeatReply, PlatformAge, error) {
	type replyWithAge struct {
		reply member.HeartbeatReply
		age   PlatformAge
	}
	result, err := runForResult(ctx, l, func(n *node, now time.Time) replyWithAge {
		n.recordPeerConfig(now, message.Gossip.Config)
		n.recordPlatformAge(now.Add(-maxHeartbeatDelay), age)
		reply, effects := n.members.HandleHeartbeat(now, message)
		n.applyMemberEffects(effects)
		return replyWithAge{reply: reply, age: n.platformAge(now)}
	})
	return result.reply, result.age, err
}

// HandleSync processes a peer's full set of member records and returns the reply.
func (l *Loop) HandleSync(ctx context.Context, message member.SyncRequest) (member.SyncReply, error) {
	return runForResult(ctx, l, func(n *node, now time.Time) member.SyncReply {
		reply, effects := n.members.HandleSync(now, message)
		n.applyMemberEffects(effects)
		return reply
	})
}

// HandleFence processes a request for a vote to fence a member and returns the
// reply.
func (l *Loop) HandleFence(ctx context.Context, message member.FenceRequest) (member.FenceReply, error) {
	return runForResult(ctx, l, func(n *node, now time.Time) member.FenceReply {
		reply, effects := n.members.HandleFence(now, message)
		n.applyMemberEffects(effects)
		return reply
	})
}

// HandleClaim processes a peer's claim of resources and returns the reply.
func (l *Loop) HandleClaim(ctx context.Context, message ownership.Claim) (ownership.ClaimReply, error) {
	return runForResult(ctx, l, func(n *node, now time.Time) ownership.ClaimReply {
		reply, effects := n.ownership.HandleClaim(now, message)
		n.applyOwnershipEffects(now, effects)
		return reply
	})
}

// HandleReport processes an owner's report to this instance as the steward of a
// service and returns the reply.
func (l *Loop) HandleReport(ctx context.Context, service fleet.ServiceName, report floor.Report) (floor.Reply, error) {
	return runForResult(ctx, l, func(n *node, now time.Time) floor.Reply { return n.handleReport(now, service, report) })
}

// OfferConfig adopts a configuration document, read from the platform or from a
// peer, if it is valid and newer than the active one.
func (l *Loop) OfferConfig(ctx context.Context, document config.Document) (config.Decision, error) {
	return runForResult(ctx, l, func(n *node, now time.Time) config.Decision { return n.offerConfig(now, document) })
}

// OfferListing adopts a listing that was read from the platform or from a peer, if its
// revision is higher than the revision of the current listing.
func (l *Loop) OfferListing(ctx context.Context, listing fleet.Listing) error {
	return l.runAndWait(ctx, func(n *node, now time.Time) { n.offerListing(now, listing) })
}

// RecordPlatformRead records that this instance has just read the platform.
func (l *Loop) RecordPlatformRead(ctx context.Context) error {
	return l.runAndWait(ctx, func(n *node, now time.Time) { n.platformReadAt, n.ownReadAt = now, now })
}

// ReportServerDraining reports that a response of the server announced that it is
// draining. It does not block: if the queue is full, the report is dropped,
// because the next response carries the announcement again.
func (l *Loop) ReportServerDraining(service fleet.ServiceName, server fleet.ServerID) {
	select {
	case l.commands <- func(n *node, now time.Time) { n.handleServerDraining(now, service, server) }:
	default:
	}
}

// Leave announces a planned stop. Servers are released as successors claim them.
func (l *Loop) Leave(ctx context.Context) error {
	return l.runAndWait(ctx, func(n *node, now time.Time) {
		n.leaving = true
		n.changed = true
		n.applyMemberEffects(n.members.StartLeaving(now))
		n.syncMembers(now)
	})
}

// FinishLeaving announces that all requests have ended, and the successor that
// holds the at-most-once records.
func (l *Loop) FinishLeaving(ctx context.Context, successor fleet.Member) error {
	return l.runAndWait(ctx, func(n *node, now time.Time) {
		n.applyMemberEffects(n.members.FinishLeaving(now, successor))
	})
}

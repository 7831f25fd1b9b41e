package member

import (
	"time"

	"galenaridge/core/fleet"
)

// State is the membership state of one instance.
type State struct{}

// New returns the state of an instance that starts at now, with a random
// incarnation.
func New(now time.Time, options Options) *State { return &State{} }

// Tick does what is due: heartbeats, fence rounds, panel changes, contacts.
func (s *State) Tick(now time.Time) Effects { return Effects{} }

// SetListing takes a newly read listing of the platform; older revisions are
// ignored.
func (s *State) SetListing(now time.Time, listing fleet.Listing) {}

// SetConfig sets what this instance announces as in force.
func (s *State) SetConfig(now time.Time, config Config) {}

// Learn merges records that arrived outside of this package's messages.
func (s *State) Learn(now time.Time, records []Record) Effects { return Effects{} }

// Leave announces that this instance is about to stop.
func (s *State) Leave(now time.Time) Effects { return Effects{} }

// Finish announces that this instance has stopped work and who answers for its
// records; it gives up the lease. Successor may be zero.
func (s *State) Finish(now time.Time, successor fleet.Member) Effects { return Effects{} }

// HandleHeartbeat answers a heartbeat.
func (s *State) HandleHeartbeat(now time.Time, message Heartbeat) (HeartbeatReply, Effects) {
	return HeartbeatReply{}, Effects{}
}

// HandleHeartbeatReply takes the reply to a heartbeat of this instance.
func (s *State) HandleHeartbeatReply(now time.Time, sent HeartbeatOut, reply HeartbeatReply) Effects {
	return Effects{}
}

// HeartbeatFailed says that a heartbeat got no reply.
func (s *State) HeartbeatFailed(now time.Time, sent HeartbeatOut) Effects { return Effects{} }

// HandleSync answers a Sync with all records.
func (s *State) HandleSync(now time.Time, message SyncRequest) (SyncReply, Effects) {
	return SyncReply{}, Effects{}
}

// HandleSyncReply takes the reply to a Sync of this instance.
func (s *State) HandleSyncReply(now time.Time, sent SyncOut, reply SyncReply) Effects {
	return Effects{}
}

// SyncFailed says that a Sync got no reply.
func (s *State) SyncFailed(now time.Time, sent SyncOut) {}

// HandleFence answers a request to vote.
func (s *State) HandleFence(now time.Time, message FenceRequest) (FenceReply, Effects) {
	return FenceReply{}, Effects{}
}

// HandleFenceReply takes the answer to a fence request of this instance.
func (s *State) HandleFenceReply(now time.Time, sent FenceOut, reply FenceReply) Effects {
	return Effects{}
}

// FenceFailed says that a fence request got no reply.
func (s *State) FenceFailed(now time.Time, sent FenceOut) Effects { return Effects{} }

// View returns the current state as an immutable value. It is cheap when no
// record changed since the last call.
func (s *State) View() View { return View{} }

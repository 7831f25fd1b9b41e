package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// State is the membership state of one instance.
type State struct {
	options Options
	// lastCommandAt is the time of the latest command.
	lastCommandAt time.Time

	self               *entry
	formerIncarnations []fleet.Member
	entries            map[fleet.Member]*entry
	// sortedEntries holds all entries, sorted by id and incarnation.
	sortedEntries []*entry
	config        Config
	// leaving means that this instance is about to stop. It also applies to later
	// incarnations.
	leaving bool

	leaseUntil time.Time
	// committed is the witness set in effect.
	committed witnessSet
	// proposed differs from committed while the witness set is being changed.
	proposed witnessSet
	// prospectiveWitnesses receive heartbeats before they are proposed as
	// witnesses.
	prospectiveWitnesses []fleet.Member

	heartbeatDue          time.Time
	gossipDue             time.Time
	cleanupDue            time.Time
	uncertifiedFencingDue time.Time
	witnessReviewDue      time.Time
	// heartbeatNow makes the next tick send heartbeats before heartbeatDue.
	heartbeatNow bool

	// digest is the sum of the digest contributions of all records.
	digest      uint64
	gossipQueue []queuedUpdate
	lastSyncAt  time.Time

	discovery discovery

	generation uint64
	// snapshot is the cached content of View; nil if it is outdated.
	snapshot *snapshot
}

// witnessSet is one version of this instance's list of witnesses.
type witnessSet struct {
	version   WitnessSetVersion
	witnesses []fleet.Member
}

// entry is the state that this instance keeps for one incarnation.
type entry struct {
	Info
	// gossipUntil is when an ended record stops being gossiped.
	gossipUntil time.Time
	// witnessScore is the rendezvous score of the member as a witness of this
	// instance.
	witnessScore uint64

	// subject is the member's state as a subject of this witness, and witness its
	// state as a witness of this instance.
	subject subjectState
	witness witnessState

	// digestMismatchSince is when the digests began to differ; zero if they agree.
	digestMismatchSince time.Time
	// reportedConfig is the configuration in the latest event about this member,
	// emitted at configReportedAt.
	reportedConfig   Config
	configReportedAt time.Time
}

// subjectState is the state that this instance keeps, as a witness, of a member.
type subjectState struct {
	// lastAckAt is when this instance last acknowledged the member. The start of
	// witnessing and the end of a pause of this process count as
	// acknowledgements.
	lastAckAt time.Time
	// votedToFence means that this instance voted to fence the member. It never
	// acknowledges the member again.
	votedToFence bool
	// latestWitnessSetVersion is the highest version of the witness set in the member's
	// heartbeats.
	latestWitnessSetVersion WitnessSetVersion
	// grantedBy lists the other witnesses that voted to fence the member.
	grantedBy     []fleet.Member
	fenceRoundDue time.Time
	// unreachable lists the members that did not reply to a fence request.
	unreachable []fleet.Member
}

// witnessState is the state of a member as a witness of this instance. It is
// reset with each new incarnation of this instance.
type witnessState struct {
	// lastAckedSentAt is the send time of the latest acknowledged heartbeat.
	lastAckedSentAt time.Time
	// ackedWitnessSetVersion is the highest version of the witness set that the member
	// acknowledged.
	ackedWitnessSetVersion WitnessSetVersion
	// unansweredSince is the send time of the first heartbeat after the latest
	// acknowledgement; zero if no heartbeat is unacknowledged.
	unansweredSince time.Time
	// avoidUntil is until when the member is not chosen as a witness, because it
	// was unresponsive.
	avoidUntil time.Time
	// votedToFence means that the member voted to fence this incarnation.
	votedToFence bool
	// hasOwnRecord means that the member has the newest record of this instance.
	hasOwnRecord bool
}

// New returns the state of an instance that starts at now, with a random
// incarnation and the status Joining.
func New(now time.Time, options Options) *State {
	s := &State{
		options:       options.withDefaults(),
		lastCommandAt: now,
		entries:       make(map[fleet.Member]*entry),
	}
	s.startIncarnation(now)
	return s
}

// startIncarnation takes a new random incarnation, which has no witnesses and no
// lease.
func (s *State) startIncarnation(now time.Time) {
	incarnation := fleet.Incarnation(0)
	for incarnation == 0 {
		incarnation = fleet.Incarnation(s.options.Random.Uint64())
	}
	record := Record{
		Member:        fleet.Member{ID: s.options.ID, Incarnation: incarnation},
		Domain:        s.options.Domain,
		PeerAddress:   s.options.PeerAddress,
		CallerAddress: s.options.CallerAddress,
	}
	s.self = s.insertEntry(now, record)
	s.queueGossip(record.Member)
	s.committed, s.proposed, s.prospectiveWitnesses = witnessSet{}, witnessSet{}, nil
	s.leaseUntil = time.Time{}
	s.discovery.restart(now)
}

// rejoin abandons the current incarnation and starts a new one. The record of the
// old incarnation becomes Fenced without a certificate, since this instance
// itself knows that the old incarnation holds no lease, and names the new
// incarnation as its successor. The state as a witness of other members remains.
func (s *State) rejoin(now time.Time, effects *Effects) {
	old := s.self
	record := old.Record
	record.Status = Fenced
	s.formerIncarnations = append(s.formerIncarnations, old.Member)
	if len(s.formerIncarnations) > maxFormerIncarnations {
		s.formerIncarnations = slices.Delete(s.formerIncarnations, 0, 1)
	}
	s.startIncarnation(now)
	record.Successor = s.self.Member
	s.replaceRecord(now, old, record, effects)
	for _, e := range s.sortedEntries {
		e.witness = witnessState{}
	}
	s.heartbeatNow = true
}

// advanceClock records the time of a command and returns it; time never goes
// back. After a pause of this process it resets the times since the last
// acknowledgement in both directions, since otherwise every member would be
// suspected.
func (s *State) advanceClock(now time.Time) time.Time {
	if now.Before(s.lastCommandAt) {
		return s.lastCommandAt
	}
	paused := now.Sub(s.lastCommandAt) > pauseThreshold
	s.lastCommandAt = now
	if !paused {
		return now
	}
	for _, e := range s.sortedEntries {
		if !e.subject.lastAckAt.IsZero() {
			e.subject.lastAckAt = now
		}
		if !e.witness.unansweredSince.IsZero() {
			e.witness.unansweredSince = now
		}
	}
	return now
}

// insertEntry adds an entry for an unknown incarnation.
func (s *State) insertEntry(now time.Time, record Record) *entry {
	e := &entry{Info: Info{Record: record, FirstSeen: now}}
	e.witnessScore = fleet.RendezvousScore(record.Member.ID, fleet.Resource("witness/"+string(s.options.ID)))
	at, _ := slices.BinarySearchFunc(s.sortedEntries, record.Member, compareEntry)
	s.sortedEntries = slices.Insert(s.sortedEntries, at, e)
	s.entries[record.Member] = e
	s.digest += digestContribution(record)
	s.recordStatusTime(now, e)
	s.invalidateView()
	return e
}

func compareEntry(e *entry, m fleet.Member) int { return e.Member.Compare(m) }

// invalidateView makes the next call of View build a new snapshot.
func (s *State) invalidateView() {
	s.generation++
	s.snapshot = nil
}

// recordStatusTime sets ActiveSince when an entry is first active or leaving, and
// EndedAt when it is first left or fenced.
func (s *State) recordStatusTime(now time.Time, e *entry) {
	if (e.Status == Active || e.Status == Leaving) && e.ActiveSince.IsZero() {
		e.ActiveSince = now
	}
	if e.Status.Ended() && e.EndedAt.IsZero() {
		e.EndedAt = now
		e.Suspected = false
	}
}

// actingEntry returns the entry that acts for a witness: the entry of the witness
// itself or, if the witness was fenced, of the newest incarnation of the same
// process. The newer incarnation keeps the votes and acknowledgements of the
// older one, so its replies count as replies of the witness. The result is nil if
// the process has ended.
func (s *State) actingEntry(witness fleet.Member) *entry {
	for range maxFormerIncarnations {
		e, ok := s.entries[witness]
		if !ok || !e.Status.Ended() {
			return e
		}
		if e.Status != Fenced || e.Successor.ID != witness.ID {
			return nil
		}
		witness = e.Successor
	}
	return nil
}

// isOwnIncarnation reports whether m is the current or a former incarnation of
// this process.
func (s *State) isOwnIncarnation(m fleet.Member) bool {
	return m == s.self.Member || s.isFormerIncarnation(m)
}

// isFormerIncarnation reports whether m is an earlier incarnation of this
// process.
func (s *State) isFormerIncarnation(m fleet.Member) bool {
	return slices.Contains(s.formerIncarnations, m)
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// State is the membership state of one instance.
type State struct {
	options Options
	// lastSeen is the time of the latest command.
	lastSeen time.Time

	self    *entry
	former  []fleet.Member
	entries map[fleet.Member]*entry
	// sorted holds all entries in order of id and incarnation.
	sorted []*entry
	config Config
	// leaving means that this instance is about to stop, also under a new
	// incarnation.
	leaving bool

	lease     time.Time
	committed panel
	// proposed differs from committed while a panel change is under way.
	proposed panel
	// prospects are members that are asked for acknowledgements before they
	// are proposed as witnesses.
	prospects []fleet.Member

	heartbeatDue time.Time
	gossipDue    time.Time
	cleanDue     time.Time
	resortDue    time.Time
	panelDue     time.Time
	// urgent makes the next tick send heartbeats without waiting.
	urgent bool

	digest   uint64
	updates  []update
	lastSync time.Time

	contacts contacts

	generation uint64
	snapshot   *snapshot
}

// panel is one list of witnesses.
type panel struct {
	number    WitnessSetVersion
	witnesses []fleet.Member
}

// entry is what this instance knows about one incarnation.
type entry struct {
	Info
	// shareUntil is when an ended record is no longer passed on.
	shareUntil time.Time
	// score orders members as witnesses of this instance.
	score uint64

	witnessing witnessing
	answering  answering

	// mismatchSince is when the digests began to differ; zero if they agree.
	mismatchSince time.Time
	// reported is the configuration of the latest event about this member.
	reported   Config
	reportedAt time.Time
}

// witnessing is what this instance keeps as a witness of a member.
type witnessing struct {
	// lastAck is when this instance last acknowledged the member, or a later
	// time from which silence is counted.
	lastAck time.Time
	// voted means that the member is never acknowledged again.
	voted bool
	// seenPanel is the highest panel number in the member's heartbeats.
	seenPanel WitnessSetVersion
	// granted lists other witnesses that voted to fence the member.
	granted  []fleet.Member
	roundDue time.Time
	// unreachable lists members that did not answer a last-resort round.
	unreachable []fleet.Member
}

// answering is what this instance keeps about a member as its own witness. It
// belongs to the current incarnation of this instance.
type answering struct {
	// sentAt is the send time of the latest acknowledged heartbeat.
	sentAt time.Time
	// panel is the highest panel number that the member acknowledged.
	panel WitnessSetVersion
	// silentSince is the send time of the first heartbeat since the latest
	// answer; zero if none is unanswered.
	silentSince time.Time
	avoidUntil  time.Time
	// refused means that the member voted to fence this incarnation.
	refused bool
	// knowsSelf means that the member has this instance's newest record.
	knowsSelf bool
}

// New returns the state of an instance that starts at now, with a random
// incarnation.
func New(now time.Time, options Options) *State {
	s := &State{
		options:  options.withDefaults(),
		lastSeen: now,
		entries:  make(map[fleet.Member]*entry),
	}
	s.begin(now)
	return s
}

// begin starts a new incarnation.
func (s *State) begin(now time.Time) {
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
	s.self = s.insert(now, record)
	s.enqueue(record.Member)
	s.committed, s.proposed, s.prospects = panel{}, panel{}, nil
	s.lease = time.Time{}
	s.contacts.begin(now)
}

// rejoin gives up the current incarnation and begins a new one. The record of
// the old one becomes Fenced, since nobody knows better than this instance
// that it holds no lease, and names the new one as its successor. What this
// instance keeps as a witness of others remains.
func (s *State) rejoin(now time.Time, effects *Effects) {
	old := s.self
	record := old.Record
	record.Status = Fenced
	s.former = append(s.former, old.Member)
	if len(s.former) > maxFormer {
		s.former = slices.Delete(s.former, 0, 1)
	}
	s.begin(now)
	record.Successor = s.self.Member
	s.replace(now, old, record, effects)
	for _, e := range s.sorted {
		e.answering = answering{}
	}
	s.urgent = true
}

// observe takes the time of a command. After a pause of this process it
// restarts the count of silence, which would otherwise accuse everyone.
func (s *State) observe(now time.Time) time.Time {
	if now.Before(s.lastSeen) {
		return s.lastSeen
	}
	paused := now.Sub(s.lastSeen) > pauseLimit
	s.lastSeen = now
	if !paused {
		return now
	}
	for _, e := range s.sorted {
		if !e.witnessing.lastAck.IsZero() {
			e.witnessing.lastAck = now
		}
		if !e.answering.silentSince.IsZero() {
			e.answering.silentSince = now
		}
	}
	return now
}

// insert adds an entry for an unknown incarnation.
func (s *State) insert(now time.Time, record Record) *entry {
	e := &entry{Info: Info{Record: record, FirstSeen: now}}
	e.score = fleet.RendezvousScore(record.Member.ID, fleet.Resource("witness/"+string(s.options.ID)))
	at, _ := slices.BinarySearchFunc(s.sorted, record.Member, compareEntry)
	s.sorted = slices.Insert(s.sorted, at, e)
	s.entries[record.Member] = e
	s.digest += contribution(record)
	s.noteStatus(now, e)
	s.touch()
	return e
}

func compareEntry(e *entry, m fleet.Member) int { return e.Member.Compare(m) }

// touch marks the view as outdated.
func (s *State) touch() {
	s.generation++
	s.snapshot = nil
}

// noteStatus keeps the times that belong to the status of an entry.
func (s *State) noteStatus(now time.Time, e *entry) {
	if (e.Status == Active || e.Status == Leaving) && e.ActiveSince.IsZero() {
		e.ActiveSince = now
	}
	if e.Status.Ended() && e.EndedAt.IsZero() {
		e.EndedAt = now
		e.Suspected = false
	}
}

// acting returns the entry that acts for a witness: the witness itself, or if it
// was fenced, the incarnation that the same process has taken since. That one
// still knows whom it voted against and when it last acknowledged whom, so its
// answers count like those of the former. It is nil if the process is lost.
func (s *State) acting(witness fleet.Member) *entry {
	for range maxFormer {
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

// isOwn reports whether m is the current or a former incarnation of this
// process.
func (s *State) isOwn(m fleet.Member) bool { return m == s.self.Member || s.isFormer(m) }

// isFormer reports whether m is an earlier incarnation of this process.
func (s *State) isFormer(m fleet.Member) bool { return slices.Contains(s.former, m) }

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

package ownership

import (
	"slices"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

const (
	// defaultSettleTime is longer than gossip takes to reach the whole fleet.
	defaultSettleTime = 1500 * time.Millisecond
	// defaultClockSkew is twice the 250 ms by which wall clocks may differ.
	defaultClockSkew    = 500 * time.Millisecond
	defaultConsentCount = 3
	// sendInterval is the minimum interval of messages to one peer.
	sendInterval = 250 * time.Millisecond
	// replyTimeout is how long a message without a reply or failure counts as in
	// flight.
	replyTimeout = 2 * time.Second
	// maxBatchResources bounds the resources in one message to about 16 kB.
	maxBatchResources = 512
	// maxOrderLength is the number of ranked candidates kept for a resource. If
	// fewer than minOrderLength remain, the order is computed again. Only the first
	// few ranks matter; keeping all would take 17 MB with 5,400 servers and 400
	// instances.
	maxOrderLength = 8
	minOrderLength = 6
	// maxPossibleHolders bounds the possible holders kept for a resource.
	maxPossibleHolders = 4
)

// Options configures a State. Zero values select the defaults.
type Options struct {
	// SettleTime is how long an instance must be active before it claims resources.
	SettleTime time.Duration
	// ClockSkew is the maximum difference between wall clocks. It is added to the
	// largest deadline of a resource after its holder is fenced.
	ClockSkew time.Duration
	// ConsentCount is the number of other candidates that must consent to a claim.
	ConsentCount int
}

func (o Options) withDefaults() Options {
	if o.SettleTime == 0 {
		o.SettleTime = defaultSettleTime
	}
	if o.ClockSkew == 0 {
		o.ClockSkew = defaultClockSkew
	}
	if o.ConsentCount == 0 {
		o.ConsentCount = defaultConsentCount
	}
	return o
}

// State is the ownership state of one instance.
type State struct {
	options Options
	// view is the latest membership view; hasView is false before the first one.
	view       member.View
	hasView    bool
	self       member.Info
	candidates candidateSet
	// recentlyFenced lists the fenced members whose work may still be running.
	recentlyFenced []member.Info
	// maxFenceWait is the longest fenceWait of all wanted resources.
	maxFenceWait time.Duration

	resources map[fleet.Resource]*resource
	// sortedResources holds the resources that are wanted or still held, sorted by
	// name.
	sortedResources []*resource
	// pending lists the resources that Tick processes. It is recomputed if
	// pendingStale is set.
	pending      []*resource
	pendingStale bool
	peers        map[fleet.Member]*peerPacing

	// orders is the copy of all orders that views share. It is rebuilt if
	// ordersStale is set.
	orders      map[fleet.Resource][]candidate
	ordersStale bool
	// snapshot is the cached content of View; nil if it is outdated.
	snapshot *snapshot
}

// holdState is the state of a resource at this instance.
type holdState uint8

const (
	notHeld holdState = iota
	held
	draining
)

// resource is the state that this instance keeps for one resource.
type resource struct {
	ResourceSpec
	// wanted is false for resources that are known only from claims of other
	// instances or that are no longer in the configuration.
	wanted bool
	// order lists the first candidates, the highest-ranked first.
	order []candidate
	state holdState

	// possibleHolders are the members that may hold the resource, newest first.
	// This instance claims the resource only with their consent.
	possibleHolders []fleet.Member
	// knowsHolder means that this instance held the resource or received the
	// announcement of a holder during its current incarnation.
	knowsHolder       bool
	earlierCandidates earlierCandidates
	// yieldedBy are the members that rank before this instance but yielded the
	// resource to it.
	yieldedBy []fleet.Member

	// consents are the consents to the current claim. Replies to messages sent
	// before claimValidFrom belong to an abandoned claim and are ignored.
	consents       []consent
	claimValidFrom time.Time
	// announcedTo lists the members that acknowledged the announcement that this
	// instance holds the resource.
	announcedTo []fleet.Member

	// holdOffUntil is until when this instance does not claim the resource, after
	// it yielded the resource to yieldedTo. It is zero if there is no hold-off.
	holdOffUntil time.Time
	yieldedTo    fleet.Member
}

// earlierCandidates caches the first candidates that were active before this
// instance, for one generation of the view.
type earlierCandidates struct {
	generation uint64
	members    []fleet.Member
}

// consent is the consent of one member to the current claim.
type consent struct {
	from fleet.Member
	// possibleHolders lists the other members that may hold the resource according
	// to this member.
	possibleHolders []fleet.Member
}

// peerPacing limits the rate of messages to one member.
type peerPacing struct {
	nextSendAt time.Time
	// inFlightUntil is when the message in flight, if any, no longer counts as in
	// flight.
	inFlightUntil time.Time
}

// New returns a state without members and resources.
func New(options Options) *State {
	return &State{
		options:   options.withDefaults(),
		resources: make(map[fleet.Resource]*resource),
		peers:     make(map[fleet.Member]*peerPacing),
	}
}

// fenceWait returns how long work for the resource may continue after its holder is
// fenced.
func (s *State) fenceWait(r *resource) time.Duration { return r.LargestDeadline + s.options.ClockSkew }

// getOrCreate returns the state of a resource and creates it for an unknown name.
func (s *State) getOrCreate(name fleet.Resource) *resource {
	r, ok := s.resources[name]
	if !ok {
		r = &resource{ResourceSpec: ResourceSpec{Resource: name}}
		s.resources[name] = r
	}
	return r
}

// invalidate marks the list of pending resources and the view as outdated.
func (s *State) invalidate() {
	s.pendingStale = true
	s.snapshot = nil
}

// abandonClaim discards the consents to the current claim, also consents in
// replies that have not arrived.
func (r *resource) abandonClaim(now time.Time) {
	r.consents = nil
	r.claimValidFrom = now
}

// addPossibleHolder puts a member first among the possible holders.
func (r *resource) addPossibleHolder(m fleet.Member) {
	r.possibleHolders = slices.Insert(removeMember(r.possibleHolders, m), 0, m)
	r.possibleHolders = r.possibleHolders[:min(len(r.possibleHolders), maxPossibleHolders)]
}

func (r *resource) hasConsent(m fleet.Member) bool {
	return slices.ContainsFunc(r.consents, func(c consent) bool { return c.from == m })
}

func (r *resource) removeConsent(m fleet.Member) {
	r.consents = slices.DeleteFunc(r.consents, func(c consent) bool { return c.from == m })
}

func compareNames(a, b *resource) int {
	return strings.Compare(string(a.Resource), string(b.Resource))
}

func addMember(list []fleet.Member, m fleet.Member) []fleet.Member {
	if slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

func removeMember(list []fleet.Member, m fleet.Member) []fleet.Member {
	return slices.DeleteFunc(list, func(other fleet.Member) bool { return other == m })
}

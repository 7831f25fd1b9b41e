package ownership

import (
	"slices"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

const (
	// defaultSettle is longer than gossip takes to reach the whole fleet.
	defaultSettle = 1500 * time.Millisecond
	// defaultClockSkew is twice the 250 ms by which wall clocks may differ.
	defaultClockSkew = 500 * time.Millisecond
	defaultAsked     = 3
	// askEvery is the interval of messages to one peer.
	askEvery = 250 * time.Millisecond
	// replyWithin is when a message without reply or failure is given up.
	replyWithin = 2 * time.Second
	// maxBatch bounds the resources in one message to about 16 kB.
	maxBatch = 512
	// orderLength is the number of candidates kept in order for a resource, and
	// orderMinimum the number below which the order is computed anew. The first
	// few places decide; keeping all would cost 17 MB at 5,400 servers and 400
	// instances.
	orderLength  = 8
	orderMinimum = 6
	// maxClaimants bounds the claimants remembered for a resource.
	maxClaimants = 4
)

// Options set up a State. Zero values take the defaults.
type Options struct {
	// SettleTime is how long an instance must be active before it claims.
	SettleTime time.Duration
	// ClockSkew is the disagreement of wall clocks, added to the largest
	// deadline after a fencing.
	ClockSkew time.Duration
	// ConsentCount is how many other candidates must consent.
	ConsentCount int
}

func (o Options) withDefaults() Options {
	if o.SettleTime == 0 {
		o.SettleTime = defaultSettle
	}
	if o.ClockSkew == 0 {
		o.ClockSkew = defaultClockSkew
	}
	if o.ConsentCount == 0 {
		o.ConsentCount = defaultAsked
	}
	return o
}

// State is the ownership state of one instance.
type State struct {
	options Options
	// members is the latest view; hasMembers says that there is one.
	members    member.View
	hasMembers bool
	self       member.Info
	live       roster
	// fenced lists members whose work may still be running.
	fenced []member.Info
	// longestWait is the longest time that any resource waits after a fencing.
	longestWait time.Duration

	resources map[fleet.Resource]*resource
	// sorted holds the wanted resources in order of name.
	sorted []*resource
	// busy lists the resources that Tick must look at; busyStale says that it
	// must be computed anew.
	busy      []*resource
	busyStale bool
	peers     map[fleet.Member]*peer

	orders      map[fleet.Resource][]slot
	ordersStale bool
	snapshot    *snapshot
}

// hold is what this instance has of a resource.
type hold uint8

const (
	notHeld hold = iota
	held
	draining
)

// resource is what this instance knows about one resource.
type resource struct {
	ResourceSpec
	// wanted is false for resources that are known from claims only.
	wanted bool
	order  []slot
	hold   hold

	// claimants are members that may hold the resource, newest first. This
	// instance claims it only with their consent.
	claimants []fleet.Member
	// informed means that this instance held the resource or was told of a
	// holder during its current incarnation.
	informed bool
	elders   elders
	// yielders are members that come first but gave the resource up to this
	// instance.
	yielders []fleet.Member

	// answers are replies to the current claim; replies to messages sent before
	// validFrom belong to an abandoned one.
	answers   []answer
	validFrom time.Time
	// told lists members that know that this instance holds the resource.
	told []fleet.Member

	// holdOff is until when this instance does not claim the resource, and
	// yieldedTo who may claim it instead.
	holdOff   time.Time
	yieldedTo fleet.Member
}

// elders caches the first candidates that were active before this instance.
type elders struct {
	generation uint64
	members    []fleet.Member
}

// answer is the consent of one member to the current claim.
type answer struct {
	from fleet.Member
	// needs lists others that it named as possible holders.
	needs []fleet.Member
}

// peer paces the messages to one member.
type peer struct {
	due time.Time
	// waitUntil is set while a message is in flight.
	waitUntil time.Time
}

// New returns a state that holds nothing.
func New(options Options) *State {
	return &State{
		options:   options.withDefaults(),
		resources: make(map[fleet.Resource]*resource),
		peers:     make(map[fleet.Member]*peer),
	}
}

// wait is how long work for the resource may run on after its holder's fencing.
func (s *State) wait(r *resource) time.Duration { return r.LargestDeadline + s.options.ClockSkew }

// get returns the entry of a resource and creates one for an unknown name.
func (s *State) get(name fleet.Resource) *resource {
	r, ok := s.resources[name]
	if !ok {
		r = &resource{ResourceSpec: ResourceSpec{Resource: name}}
		s.resources[name] = r
	}
	return r
}

// touch marks the list of busy resources and the view as outdated.
func (s *State) touch() {
	s.busyStale = true
	s.snapshot = nil
}

// abandon voids the current claim of a resource.
func (r *resource) abandon(now time.Time) {
	r.answers = nil
	r.validFrom = now
}

// noteClaimant puts a member first among those that may hold the resource.
func (r *resource) noteClaimant(m fleet.Member) {
	r.claimants = slices.Insert(remove(r.claimants, m), 0, m)
	r.claimants = r.claimants[:min(len(r.claimants), maxClaimants)]
}

func (r *resource) consented(m fleet.Member) bool {
	return slices.ContainsFunc(r.answers, func(a answer) bool { return a.from == m })
}

// retract removes the consent of a member.
func (r *resource) retract(m fleet.Member) {
	r.answers = slices.DeleteFunc(r.answers, func(a answer) bool { return a.from == m })
}

func compareNames(a, b *resource) int {
	return strings.Compare(string(a.Resource), string(b.Resource))
}

func add(list []fleet.Member, m fleet.Member) []fleet.Member {
	if slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

func remove(list []fleet.Member, m fleet.Member) []fleet.Member {
	return slices.DeleteFunc(list, func(other fleet.Member) bool { return other == m })
}

package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

const (
	tickEvery   = 50 * time.Millisecond
	callTimeout = time.Second
	checkEvery  = 5 * time.Millisecond
	// listingLag is the maximum delay after which the listing drops a dead process.
	listingLag = 3 * time.Second
	// workDeadline is the largest deadline of all resources.
	workDeadline = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one process in the simulated network.
type node struct {
	number  int
	id      fleet.InstanceID
	address fleet.Address
	domain  fleet.Domain
	members *member.State
	owner   *ownership.State
	alive   bool
	leaving bool
	// fencedMembers caches the result of fenced for the view of fencedGeneration.
	fencedMembers    []fleet.Member
	fencedGeneration uint64
	// listedUntil is when the listing drops a dead process.
	listedUntil time.Time
	// resumeAt is when a paused process resumes. It then runs pausedCalls.
	resumeAt    time.Time
	pausedCalls []func()
}

type scheduledAction struct {
	at  time.Time
	seq int
	run func()
}

type actionQueue []scheduledAction

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type link struct{ from, to fleet.Address }

// network runs nodes on a simulated clock. All randomness comes from one seed.
type network struct {
	now              time.Time
	queue            actionQueue
	seq              int
	random           *rand.Rand
	nodes            []*node
	listing          fleet.Listing
	wanted           []ownership.ResourceSpec
	cuts             map[link]bool
	lossProbability  float64
	delayProbability float64
	startedCount     int
	lastCheckAt      time.Time
	failure          string
}

func newNetwork(seed uint64, resources int) *network {
	n := &network{
		now:    epoch,
		random: rand.New(rand.NewPCG(seed, 1)),
		cuts:   make(map[link]bool),
	}
	for i := range resources {
		n.wanted = append(n.wanted, ownership.ResourceSpec{
			Resource:        fleet.ServerResource(fleet.ServerID(fmt.Sprintf("s%02d", i))),
			Domain:          fleet.Domain(fmt.Sprintf("d%d", i%3)),
			LargestDeadline: workDeadline,
		})
	}
	n.wanted = append(n.wanted, ownership.ResourceSpec{Resource: fleet.FloorResource("x"), LargestDeadline: workDeadline})
	return n
}

func (n *network) schedule(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, scheduledAction{at: n.now.Add(d), seq: n.seq, run: run})
}

// run advances the clock and checks the invariants every checkEvery.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.failure == "" && len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(scheduledAction)
		n.now = next.at
		next.run()
		if n.now.Sub(n.lastCheckAt) >= checkEvery {
			n.lastCheckAt = n.now
			n.check()
		}
	}
	n.now = end
}

// start adds a process with a new id to the network and the listing.
func (n *network) start() *node {
	n.startedCount++
	return n.startAs(n.startedCount)
}

// restart replaces a process by a new one with the same id and address.
func (n *network) restart(p *node) {
	n.kill(p)
	n.startAs(p.number)
}

// startAs adds the process number i to the network and the listing.
func (n *network) startAs(i int) *node {
	p := &node{
		number:  i,
		id:      fleet.InstanceID(fmt.Sprintf("i%02d", i)),
		address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		domain:  fleet.Domain(fmt.Sprintf("d%d", i%3)),
		alive:   true,
	}
	p.members = member.New(n.now, member.Options{ID: p.id, Domain: p.domain, PeerAddress: p.address, Random: n.random})
	p.owner = ownership.New(ownership.Options{})
	p.owner.SetResources(n.now, n.wanted)
	n.nodes = append(n.nodes, p)
	n.publishListing()
	n.schedule(n.randomUpTo(tickEvery), func() { n.tick(p) })
	n.schedule(n.randomUpTo(time.Second), func() { n.readListing(p) })
	return p
}

func (n *network) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d) + 1))
}

// publishListing sets a listing of the live processes and of dead ones that it has
// not dropped yet.
func (n *network) publishListing() {
	listing := fleet.Listing{Revision: n.listing.Revision + 1}
	named := make(map[fleet.InstanceID]bool)
	for _, p := range n.nodes {
		if (p.alive || n.now.Before(p.listedUntil)) && !named[p.id] {
			named[p.id] = true
			listing.Instances = append(listing.Instances, fleet.ListedInstance{ID: p.id, Domain: p.domain, PeerAddress: p.address})
		}
	}
	n.listing = listing
}

func (n *network) readListing(p *node) {
	if !p.alive {
		return
	}
	n.runOn(p, func() { p.members.SetListing(n.now, n.listing) })
	n.schedule(time.Second, func() { n.readListing(p) })
}

// kill ends a process; the listing drops it later.
func (n *network) kill(p *node) {
	p.alive = false
	lag := listingLag/2 + n.randomUpTo(listingLag/2)
	p.listedUntil = n.now.Add(lag)
	n.schedule(lag, n.publishListing)
}

func (n *network) pause(p *node, d time.Duration) {
	if p.paused(n.now) {
		return
	}
	p.resumeAt = n.now.Add(d)
	n.schedule(d, func() {
		for len(p.pausedCalls) > 0 && p.alive {
			run := p.pausedCalls[0]
			p.pausedCalls = p.pausedCalls[1:]
			run()
		}
	})
}

func (p *node) paused(now time.Time) bool { return now.Before(p.resumeAt) }

// runOn runs code of a process. If the process is paused, the code runs when it
// resumes; if it is dead, the code does not run.
func (n *network) runOn(p *node, run func()) {
	switch {
	case !p.alive:
	case p.paused(n.now) || len(p.pausedCalls) > 0:
		p.pausedCalls = append(p.pausedCalls, run)
	default:
		run()
	}
}

func (n *network) tick(p *node) {
	if !p.alive {
		return
	}
	n.runOn(p, func() {
		n.sendMemberEffects(p, p.members.Tick(n.now))
		n.sendOwnerEffects(p, p.owner.Tick(n.now, p.members.View().LeaseValid(n.now)))
	})
	n.schedule(tickEvery, func() { n.tick(p) })
}

// sendMemberEffects sends the messages of a membership command.
func (n *network) sendMemberEffects(p *node, effects member.Effects) {
	for _, out := range effects.Heartbeats {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleHeartbeat(n.now, out.Message)
			n.sendMemberEffects(q, more)
			return func() { n.sendMemberEffects(p, p.members.HandleHeartbeatReply(n.now, out, reply)) }
		}, func() { n.sendMemberEffects(p, p.members.HandleHeartbeatFailure(n.now, out)) })
	}
	for _, out := range effects.SyncRequests {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleSync(n.now, out.Message)
			n.sendMemberEffects(q, more)
			return func() { n.sendMemberEffects(p, p.members.HandleSyncReply(n.now, out, reply)) }
		}, func() { p.members.HandleSyncFailure(n.now, out) })
	}
	for _, out := range effects.FenceRequests {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleFence(n.now, out.Message)
			n.sendMemberEffects(q, more)
			return func() { n.sendMemberEffects(p, p.members.HandleFenceReply(n.now, out, reply)) }
		}, func() { n.sendMemberEffects(p, p.members.HandleFenceFailure(n.now, out)) })
	}
	n.sendOwnerEffects(p, p.owner.SetMembers(n.now, p.members.View()))
}

// sendOwnerEffects sends the messages of an ownership command and drains resources.
func (n *network) sendOwnerEffects(p *node, effects ownership.Effects) {
	for _, name := range effects.Drain {
		n.schedule(n.randomUpTo(500*time.Millisecond), func() { n.runOn(p, func() { p.owner.HandleDrained(n.now, name) }) })
	}
	for _, out := range effects.Claims {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.owner.HandleClaim(n.now, out.Message)
			n.sendOwnerEffects(q, more)
			return func() { n.sendOwnerEffects(p, p.owner.HandleClaimReply(n.now, out, reply)) }
		}, func() { p.owner.HandleClaimFailure(n.now, out) })
	}
	if len(effects.DiscoveredRecords) > 0 {
		n.sendMemberEffects(p, p.members.MergeRecords(n.now, effects.DiscoveredRecords))
	}
}

// call sends a request and returns its reply to the sender. A call fails at once if
// no process has the address, and otherwise at its timeout; a late request may still
// be served.
func (n *network) call(p *node, to fleet.Address, serve func(*node) func(), failed func()) {
	done := false
	finish := func(run func()) {
		n.runOn(p, func() {
			if !done {
				done = true
				run()
			}
		})
	}
	n.schedule(callTimeout, func() { finish(failed) })
	n.deliver(link{p.address, to}, func() {
		i := slices.IndexFunc(n.nodes, func(q *node) bool { return q.address == to && q.alive })
		if i < 0 {
			finish(failed)
			return
		}
		q := n.nodes[i]
		n.runOn(q, func() {
			reply := serve(q)
			n.deliver(link{to, p.address}, func() { finish(reply) })
		})
	})
}

// deliver delivers one message after a random delay, or loses it.
func (n *network) deliver(l link, deliver func()) {
	if n.cuts[l] || n.random.Float64() < n.lossProbability {
		return
	}
	delay := time.Millisecond + n.randomUpTo(9*time.Millisecond)
	if n.random.Float64() < n.delayProbability {
		delay += n.randomUpTo(2 * time.Second)
	}
	n.schedule(delay, deliver)
}

func (p *node) holds(name fleet.Resource, now time.Time) bool {
	return p.owner.View().Holds(name, p.members.View().LeaseValid(now))
}

// holders returns the processes that hold the resource with a valid lease, paused
// ones included.
func (n *network) holders(name fleet.Resource) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, p := range n.nodes {
		if p.alive && p.holds(name, n.now) {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// check sets failure if a resource has two holders, or if a fenced incarnation has a
// valid lease.
func (n *network) check() {
	holder := make(map[fleet.Resource]fleet.InstanceID)
	fenced := make(map[fleet.Member]fleet.InstanceID)
	for _, q := range n.nodes {
		for _, m := range q.fenced() {
			fenced[m] = q.id
		}
	}
	for _, p := range n.nodes {
		view := p.members.View()
		if !p.alive || !view.LeaseValid(n.now) {
			continue
		}
		if witness, found := fenced[view.Self().Member]; found {
			n.failure = fmt.Sprintf("%v: %s has a lease and is fenced according to %s", n.now.Sub(epoch), p.id, witness)
		}
		for _, name := range p.owner.View().HeldResources(true) {
			if first, found := holder[name]; found {
				n.failure = fmt.Sprintf("%v: %s is held by %s and %s", n.now.Sub(epoch), name, first, p.id)
			}
			holder[name] = p.id
		}
	}
}

// fenced returns the members that are fenced in the view of the process.
func (p *node) fenced() []fleet.Member {
	view := p.members.View()
	if p.fencedGeneration != view.Generation() {
		p.fencedGeneration, p.fencedMembers = view.Generation(), nil
		for _, info := range view.Members() {
			if info.Status == member.Fenced {
				p.fencedMembers = append(p.fencedMembers, info.Member)
			}
		}
	}
	return p.fencedMembers
}

// allHeldOnce reports whether each resource has exactly one holder; otherwise it
// names one that has not.
func (n *network) allHeldOnce() (fleet.Resource, bool) {
	for _, w := range n.wanted {
		if len(n.holders(w.Resource)) != 1 {
			return w.Resource, false
		}
	}
	return "", true
}

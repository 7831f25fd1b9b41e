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
	// listingLag is how late the platform's list is at most.
	listingLag = 3 * time.Second
	// workDeadline is the largest deadline of the resources.
	workDeadline = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one process in the network of the test.
type node struct {
	number  int
	id      fleet.InstanceID
	address fleet.Address
	domain  fleet.Domain
	members *member.State
	owner   *ownership.State
	alive   bool
	leaving bool
	// fencedList caches the result of fenced for one generation of the view.
	fencedList []fleet.Member
	fencedAt   uint64
	// listedUntil is when the listing drops a dead process.
	listedUntil time.Time
	// resumeAt is set while the process is paused; waiting is what it runs then.
	resumeAt time.Time
	waiting  []func()
}

type action struct {
	at  time.Time
	seq int
	run func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

type link struct{ from, to fleet.Address }

// network runs nodes on a fake clock. All randomness comes from one seed.
type network struct {
	now     time.Time
	queue   actions
	seq     int
	random  *rand.Rand
	nodes   []*node
	listing fleet.Listing
	wanted  []ownership.ResourceSpec
	cuts    map[link]bool
	loss    float64
	slow    float64
	started int
	checked time.Time
	failure string
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

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, action{at: n.now.Add(d), seq: n.seq, run: run})
}

// run advances the clock and checks the invariants as it goes.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for n.failure == "" && len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(action)
		n.now = next.at
		next.run()
		if n.now.Sub(n.checked) >= checkEvery {
			n.checked = n.now
			n.check()
		}
	}
	n.now = end
}

// start adds a process with a new id.
func (n *network) start() *node {
	n.started++
	return n.startAs(n.started)
}

// restart replaces a process by one with the same id and address.
func (n *network) restart(p *node) {
	n.kill(p)
	n.startAs(p.number)
}

// startAs adds a process and lists it.
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
	n.list()
	n.after(n.upTo(tickEvery), func() { n.tick(p) })
	n.after(n.upTo(time.Second), func() { n.readListing(p) })
	return p
}

func (n *network) upTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d) + 1))
}

// list publishes the processes that the platform takes for live.
func (n *network) list() {
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
	n.on(p, func() { p.members.SetListing(n.now, n.listing) })
	n.after(time.Second, func() { n.readListing(p) })
}

// kill ends a process; the list shows it later.
func (n *network) kill(p *node) {
	p.alive = false
	lag := listingLag/2 + n.upTo(listingLag/2)
	p.listedUntil = n.now.Add(lag)
	n.after(lag, n.list)
}

func (n *network) pause(p *node, d time.Duration) {
	if p.paused(n.now) {
		return
	}
	p.resumeAt = n.now.Add(d)
	n.after(d, func() {
		for len(p.waiting) > 0 && p.alive {
			run := p.waiting[0]
			p.waiting = p.waiting[1:]
			run()
		}
	})
}

func (p *node) paused(now time.Time) bool { return now.Before(p.resumeAt) }

// on runs code of a process, or keeps it until the process resumes.
func (n *network) on(p *node, run func()) {
	switch {
	case !p.alive:
	case p.paused(n.now) || len(p.waiting) > 0:
		p.waiting = append(p.waiting, run)
	default:
		run()
	}
}

func (n *network) tick(p *node) {
	if !p.alive {
		return
	}
	n.on(p, func() {
		n.perform(p, p.members.Tick(n.now))
		n.performOwner(p, p.owner.Tick(n.now, p.members.View().LeaseValid(n.now)))
	})
	n.after(tickEvery, func() { n.tick(p) })
}

// perform sends what the membership wants to send.
func (n *network) perform(p *node, effects member.Effects) {
	for _, out := range effects.Heartbeats {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleHeartbeat(n.now, out.Message)
			n.perform(q, more)
			return func() { n.perform(p, p.members.HandleHeartbeatReply(n.now, out, reply)) }
		}, func() { n.perform(p, p.members.HandleHeartbeatFailure(n.now, out)) })
	}
	for _, out := range effects.SyncRequests {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleSync(n.now, out.Message)
			n.perform(q, more)
			return func() { n.perform(p, p.members.HandleSyncReply(n.now, out, reply)) }
		}, func() { p.members.HandleSyncFailure(n.now, out) })
	}
	for _, out := range effects.FenceRequests {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.members.HandleFence(n.now, out.Message)
			n.perform(q, more)
			return func() { n.perform(p, p.members.HandleFenceReply(n.now, out, reply)) }
		}, func() { n.perform(p, p.members.HandleFenceFailure(n.now, out)) })
	}
	n.performOwner(p, p.owner.SetMembers(n.now, p.members.View()))
}

// performOwner sends what the ownership wants to send.
func (n *network) performOwner(p *node, effects ownership.Effects) {
	for _, name := range effects.Drain {
		n.after(n.upTo(500*time.Millisecond), func() { n.on(p, func() { p.owner.HandleDrained(n.now, name) }) })
	}
	for _, out := range effects.Claims {
		n.call(p, out.To.Address, func(q *node) func() {
			reply, more := q.owner.HandleClaim(n.now, out.Message)
			n.performOwner(q, more)
			return func() { n.performOwner(p, p.owner.HandleClaimReply(n.now, out, reply)) }
		}, func() { p.owner.HandleClaimFailure(n.now, out) })
	}
	if len(effects.DiscoveredRecords) > 0 {
		n.perform(p, p.members.MergeRecords(n.now, effects.DiscoveredRecords))
	}
}

// call carries a request and its reply. A call fails at once if nobody listens,
// and otherwise at its timeout; a late request may still be served.
func (n *network) call(p *node, to fleet.Address, serve func(*node) func(), failed func()) {
	done := false
	finish := func(run func()) {
		n.on(p, func() {
			if !done {
				done = true
				run()
			}
		})
	}
	n.after(callTimeout, func() { finish(failed) })
	n.carry(link{p.address, to}, func() {
		i := slices.IndexFunc(n.nodes, func(q *node) bool { return q.address == to && q.alive })
		if i < 0 {
			finish(failed)
			return
		}
		q := n.nodes[i]
		n.on(q, func() {
			answer := serve(q)
			n.carry(link{to, p.address}, func() { finish(answer) })
		})
	})
}

// carry delivers one message, or loses it.
func (n *network) carry(l link, deliver func()) {
	if n.cuts[l] || n.random.Float64() < n.loss {
		return
	}
	delay := time.Millisecond + n.upTo(9*time.Millisecond)
	if n.random.Float64() < n.slow {
		delay += n.upTo(2 * time.Second)
	}
	n.after(delay, deliver)
}

func (p *node) holds(name fleet.Resource, now time.Time) bool {
	return p.owner.View().Holds(name, p.members.View().LeaseValid(now))
}

// holders returns the processes that may use the resource, paused ones included.
func (n *network) holders(name fleet.Resource) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, p := range n.nodes {
		if p.alive && p.holds(name, n.now) {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// check looks for two holders and for a lease that outlives a certificate.
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

// fenced returns the members that the process takes for fenced.
func (p *node) fenced() []fleet.Member {
	view := p.members.View()
	if p.fencedAt != view.Generation() {
		p.fencedAt, p.fencedList = view.Generation(), nil
		for _, info := range view.Members() {
			if info.Status == member.Fenced {
				p.fencedList = append(p.fencedList, info.Member)
			}
		}
	}
	return p.fencedList
}

// settled reports whether each resource has exactly one holder; otherwise it
// names one that has not.
func (n *network) settled() (fleet.Resource, bool) {
	for _, w := range n.wanted {
		if len(n.holders(w.Resource)) != 1 {
			return w.Resource, false
		}
	}
	return "", true
}

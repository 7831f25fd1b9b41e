package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/quota"
	"galenaridge/core/workset"
	"galenaridge/standin/steptime"
)

const (
	modelStep   = 10 * time.Millisecond
	modelTick   = 100 * time.Millisecond
	modelWindow = 5 * time.Second
)

var modelBounds = quota.Bounds{Window: modelWindow, Overage: 0.25, Tolerance: 20}

// model plays a fleet in virtual time: the real limiters and the real working sets of all
// instances, a network that loses and delays datagrams, and callers.
type model struct {
	seed      uint64
	random    *rand.Rand
	base      time.Time
	step      int
	instances []*instance
	customers []*customer
	queue     map[int][]func()
	// loss and late are the probabilities that a datagram is lost and that it is late, by
	// up to lateBy.
	loss, late float64
	lateBy     time.Duration
	// cut reports whether datagrams from one instance to another are lost.
	cut      func(from, to *instance) bool
	messages int
	reported int
}

// instance is one machine with at most one process.
type instance struct {
	model       *model
	id          fleet.InstanceID
	index       int
	domain      fleet.Domain
	incarnation fleet.Incarnation
	up          bool
	startStep   int
	working     *workset.State
	limiter     *quota.Limiter
	phase       int
	ticks       int
	frozen      bool
	// suspended is how far the monotonic clock of the machine is behind.
	suspended time.Duration
	held      []func()
	requests  int
	rate      float64
	// seeds are the seeds of the next start; some random instances if it is nil.
	seeds     []fleet.Address
	sentStep  int
	sentCount map[*instance]int
}

// customer is a customer with its callers and the true use of all instances.
type customer struct {
	limit   quota.Limit
	callers []*caller
	// factor is the demand as a multiple of the usual one, which is half of the rate.
	factor func(step int) float64
	// lawful customers never send more than their rate and burst allow.
	lawful   bool
	tokens   float64
	owed     float64
	admitted []int
	sent     []int
	refused  []int
	reasons  map[quota.Reason]int
	over     float64
	overAt   string
}

// caller sends requests of a customer to one instance, until it asks for another.
type caller struct {
	domain  fleet.Domain
	target  *instance
	until   int
	sticky  bool
	homeFor *instance
}

func domainName(i int) fleet.Domain { return fleet.Domain(fmt.Sprintf("d%d", i)) }

func newModel(seed uint64, instances, domains int, customers []*customer) *model {
	m := &model{seed: seed, random: rand.New(rand.NewPCG(seed, 7)), base: time.Now(), queue: make(map[int][]func()), loss: 0.005, cut: func(_, _ *instance) bool { return false }}
	for i := range instances {
		m.instances = append(m.instances, &instance{model: m, id: fleet.InstanceID(fmt.Sprintf("i%02d", i)), index: i, domain: domainName(i % domains), phase: m.random.IntN(int(modelTick / modelStep))})
	}
	for _, c := range customers {
		c.reasons = make(map[quota.Reason]int)
		c.over = math.Inf(-1)
		for range 12 {
			c.callers = append(c.callers, &caller{domain: domainName(m.random.IntN(domains))})
		}
		m.customers = append(m.customers, c)
	}
	return m
}

// now returns the time as an instance sees it.
func (i *instance) now() time.Time {
	at := i.model.base.Add(time.Duration(i.model.step)*modelStep - i.suspended)
	return steptime.Step(at, i.suspended)
}

func (i *instance) start() {
	if i.up {
		return
	}
	i.incarnation++
	i.up, i.frozen, i.held, i.ticks, i.rate = true, false, nil, 0, 0
	i.startStep = i.model.step
	member := fleet.Member{ID: i.id, Incarnation: i.incarnation<<32 + fleet.Incarnation(i.model.random.Uint32())}
	self := workset.Heartbeat{Member: member, Domain: i.domain, PeerAddress: fleet.Address(i.id), CallerAddress: fleet.Address(i.id), Cores: 0.16}
	if i.index < 6 {
		self.Cores = 0.8
	}
	seeds := i.seeds
	for len(seeds) < 4 && i.seeds == nil {
		seeds = append(seeds, fleet.Address(i.model.instances[i.model.random.IntN(len(i.model.instances))].id))
	}
	i.working = workset.New(workset.Options{Self: self, Start: i.now(), Seeds: seeds})
	i.limiter = quota.New(quota.Options{Self: member, Bounds: modelBounds, Start: i.now()})
	i.limiter.SetLimits(i.now(), 1, i.model.limits())
	i.sendHeartbeats()
}

func (i *instance) sendHeartbeats() {
	for _, out := range i.working.DueHeartbeats(i.now(), false) {
		for _, address := range out.Recipients {
			i.model.deliver(i, address, func(to *instance) { to.handleHeartbeat(out.Heartbeat) })
		}
	}
}

func (m *model) limits() []quota.Limit {
	var limits []quota.Limit
	for _, c := range m.customers {
		limits = append(limits, c.limit)
	}
	return limits
}

// sentTo returns the number of earlier datagrams to an instance in a step.
func (i *instance) sentTo(to *instance, step int) int {
	if i.sentCount == nil || i.sentStep != step {
		i.sentStep, i.sentCount = step, make(map[*instance]int)
	}
	i.sentCount[to]++
	return i.sentCount[to]
}

// contactsWait is how long an instance without contact waits before it reads the store. Before
// that it has no configuration, and refuses all requests.
const contactsWait = 100 * time.Millisecond

// loaded reports whether the instance may have a configuration.
func (i *instance) loaded() bool {
	return i.working.View().LivePeerCount() > 0 || time.Duration(i.model.step-i.startStep)*modelStep >= contactsWait
}

func (i *instance) kill() { i.up, i.frozen = false, false }

// deliver runs a handler on an instance after the delay of the network.
func (m *model) deliver(from *instance, address fleet.Address, handle func(to *instance)) {
	at := slices.IndexFunc(m.instances, func(i *instance) bool { return fleet.Address(i.id) == address })
	if at < 0 {
		return
	}
	to := m.instances[at]
	m.messages++
	// The order in which an instance sends to others varies from run to run.
	chance := rand.New(rand.NewPCG(m.seed, uint64(m.step)<<20+uint64(from.index)<<12+uint64(to.index)<<4+uint64(from.sentTo(to, m.step))))
	if chance.Float64() < m.loss || m.cut(from, to) || !to.up {
		return
	}
	delay := 1
	if chance.Float64() < m.late {
		delay += chance.IntN(int(m.lateBy/modelStep) + 1)
	}
	incarnation := to.incarnation
	m.queue[m.step+delay] = append(m.queue[m.step+delay], func() {
		switch {
		case !to.up || to.incarnation != incarnation:
		case to.frozen:
			// The socket holds what arrives meanwhile.
			if len(to.held) < 200 {
				to.held = append(to.held, func() { handle(to) })
			}
		default:
			handle(to)
		}
	})
}

func (i *instance) tick() {
	m, now := i.model, i.now()
	i.ticks++
	i.rate += 0.05 * (float64(i.requests)/modelTick.Seconds() - i.rate)
	i.requests = 0
	i.working.SetLocalStatus(workset.LocalStatus{Ready: i.ticks > 4, RequestRate: i.rate * 10, Version: 1, Position: fleet.Position{Revision: 1}})
	i.working.UpdateView(now)
	view := i.working.View()
	i.sendHeartbeats()
	peers := quota.Peers{SelfActive: view.Role() == workset.Active, Majority: view.HasMajority(), Size: view.Size(), FleetUnknown: view.IsFleetUnknown()}
	for _, heartbeat := range view.AllActive() {
		if heartbeat.Member.ID != i.id {
			peers.Active = append(peers.Active, heartbeat.Member)
		}
	}
	i.limiter.SetPeers(now, peers)
	from := i.member()
	for _, out := range i.limiter.CollectReports(now) {
		for _, to := range out.Recipients {
			m.reported += 40 + 11*len(out.Report.Uses) + 6*len(out.Report.Acks)
			m.deliver(i, fleet.Address(to.ID), func(to *instance) {
				if to.working.RecordReport(to.now(), from) {
					to.limiter.ApplyReport(to.now(), from, out.Report)
				}
			})
		}
	}
}

func (i *instance) member() fleet.Member { return i.limiter.Self() }

func (i *instance) handleHeartbeat(heartbeat workset.Heartbeat) {
	now := i.now()
	reply, _ := i.working.HandleHeartbeat(now, heartbeat)
	if reply != "" {
		answer := i.working.ContactsReply(now)
		i.model.deliver(i, reply, func(to *instance) { to.handleHeartbeat(answer) })
	}
}

// thaw ends a freeze. Requests may arrive before the control goroutine runs.
func (i *instance) thaw() {
	if !i.frozen {
		return
	}
	i.frozen = false
	held := i.held
	i.held = nil
	delay := i.model.random.IntN(3)
	i.model.queue[i.model.step+1+delay] = append(i.model.queue[i.model.step+1+delay], func() {
		if i.up && !i.frozen {
			for _, handle := range held {
				handle()
			}
		}
	})
}

// play advances the model by a time.
func (m *model) play(span time.Duration) {
	for range int(span / modelStep) {
		m.step++
		for _, run := range m.queue[m.step] {
			run()
		}
		delete(m.queue, m.step)
		for _, i := range m.instances {
			if i.up && !i.frozen && (m.step+i.phase)%int(modelTick/modelStep) == 0 {
				i.tick()
			}
		}
		for _, c := range m.customers {
			m.send(c)
		}
	}
}

// send sends the requests of a customer that are due in this step.
func (m *model) send(c *customer) {
	admitted, sent, refused := 0, 0, 0
	c.owed += c.factor(m.step) * c.limit.RatePerSecond / 2 * modelStep.Seconds()
	budget := 1 << 30
	if c.lawful {
		c.tokens = min(c.tokens+c.limit.RatePerSecond*modelStep.Seconds(), c.limit.Burst)
		budget = int(c.tokens)
		defer func() { c.tokens -= float64(sent) }()
	}
	for ; c.owed >= 1; c.owed-- {
		if sent >= budget {
			continue
		}
		caller := c.callers[m.random.IntN(len(c.callers))]
		target := m.resolve(caller)
		if target == nil || !target.up || target.frozen || !target.loaded() {
			continue
		}
		sent++
		target.requests++
		decision := target.limiter.Admit(target.now(), c.limit.Customer)
		if decision.OK {
			admitted++
			continue
		}
		refused++
		c.reasons[decision.Reason]++
		if *showAll && c.reasons[decision.Reason]%10 == 1 {
			fmt.Printf("%.2f %s %s %s: %s\n", float64(m.step)*modelStep.Seconds(), target.id, c.limit.Customer, decision.Reason, target.limiter.Describe(target.now(), c.limit.Customer))
		}
	}
	c.admitted, c.sent, c.refused = append(c.admitted, admitted), append(c.sent, sent), append(c.refused, refused)
	bound := limitOf(c.limit)*(1+modelBounds.Overage) + modelBounds.Tolerance
	if over := float64(sumSince(c.admitted, len(c.admitted)-int(modelWindow/modelStep))) - bound; over > c.over {
		c.over = over
		c.overAt = fmt.Sprintf("at %.2f s:", float64(m.step)*modelStep.Seconds())
		for _, i := range m.instances {
			if i.up {
				c.overAt += fmt.Sprintf(" [%s %s]", i.id, i.limiter.Describe(i.now(), c.limit.Customer))
			}
		}
	}
}

// resolve returns the instance that a caller uses.
func (m *model) resolve(c *caller) *instance {
	if c.homeFor != nil {
		return c.homeFor
	}
	gone := c.target == nil || !c.target.up
	if !gone && (c.sticky || m.step < c.until) {
		return c.target
	}
	if gone && m.step < c.until {
		return nil
	}
	c.until = m.step + 30 + m.random.IntN(150)
	asked := m.instances[m.random.IntN(len(m.instances))]
	if !asked.up || asked.frozen || asked.ticks == 0 {
		return nil
	}
	active := asked.working.View().ActiveFor(c.domain)
	if len(active) == 0 {
		return nil
	}
	chosen := active[m.random.IntN(len(active))].Member.ID
	for _, i := range m.instances {
		if i.id == chosen {
			c.target = i
		}
	}
	return c.target
}

func limitOf(l quota.Limit) float64 { return l.RatePerSecond*modelWindow.Seconds() + l.Burst }

func sumSince(counts []int, from int) int {
	total := 0
	for _, n := range counts[max(from, 0):] {
		total += n
	}
	return total
}

func total(counts []int) int { return sumSince(counts, 0) }

package pattern

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
)

const (
	defaultReportInterval = 100 * time.Millisecond
	defaultReportDelay    = 10 * time.Millisecond
	// shedTime is how long a rejection takes, cutTime how long it takes to find that a
	// server cannot be reached.
	shedTime = 2 * time.Millisecond
	cutTime  = 60 * time.Millisecond
	// maxSends is the number of servers that a request is offered to, maxRuns the number of
	// those that may run one that may be repeated.
	maxSends = 5
	maxRuns  = 2
	// minRepeatsForTrial is the number of repeats that must be left for a trial.
	minRepeatsForTrial = 3
	// hedgeFactor and trialHedgeFactor are the multiples of the expected time after which an
	// attempt that may be repeated is hedged, hedgeMargin is added to it.
	hedgeFactor      = 1.6
	trialHedgeFactor = 1.25
	hedgeMargin      = 25 * time.Millisecond
	// refusalWait is the time after which a refused caller comes back.
	refusalWait = 150 * time.Millisecond
	// minReturns is how often the time left of a caller must cover the time after which it
	// comes back.
	minReturns = 3
	// callerTime is how long a refusal takes to the caller and the request of a caller that
	// retries at once takes back.
	callerTime = time.Millisecond
	// defaultKind is the name of the kind of all requests of a pattern without kinds.
	defaultKind = "request"
)

// repeatSpan is the window of the quota of repeats.
const repeatSpan = 10 * time.Second

// start is the time of day at which patterns begin; only differences matter.
var start = time.Unix(1_000_000, 0)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap of events in order of time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// instance is one active instance.
type instance struct {
	id     fleet.InstanceID
	index  int
	domain int
	pool   *balance.Pool
	quota  *retry.Window
	shares *fairness.Shares
	delays RetryDelays
	// limiter limits customers to their quotas. It is nil if no customer has one.
	limiter *quota.Limiter
}

// attempt is one attempt of a request.
type attempt struct {
	chosen  *balance.Attempt
	from    *instance
	request *request
	server  *server
	// over is set if the instance waits for it no longer, running while it has a slot.
	over    bool
	running bool
}

// request is a request in progress.
type request struct {
	index    int
	kind     Kind
	customer fleet.Customer
	deadline time.Duration
	tried    []registry.Incarnation
	sends    int
	// runs is the number of attempts that a server runs or may have run, outstanding holds
	// those that have not ended.
	runs        int
	outstanding []*attempt
	// reached is set if an attempt was made.
	reached bool
	// retriesAtOnce is how often the caller still sends the request again at once.
	retriesAtOnce int
}

// player plays one pattern.
type player struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	queue     events
	scheduled int
	servers   []*server
	byID      map[fleet.ServerID]int
	instances []*instance
	// byDomain holds the instances to which the callers of each failure domain connect, entries
	// all of these.
	byDomain [][]*instance
	entries  []*instance
	result   *Result
	kinds    []Kind
	spread   *spreadMeter
}

// Play plays the pattern with a seed.
func (p Pattern) Play(seed uint64) *Result {
	if p.ReportDelay <= 0 {
		p.ReportDelay = defaultReportDelay
	}
	if p.ReportInterval <= 0 {
		p.ReportInterval = defaultReportInterval
	}
	y := &player{pattern: p, random: rand.New(rand.NewPCG(seed, 0)), byID: make(map[fleet.ServerID]int), result: &Result{}, kinds: p.kinds(), spread: newSpreadMeter(p.SpreadFrom)}
	y.addServers()
	y.addInstances()
	y.addLimiters()
	y.after(0, y.arrive)
	if p.Surge.Requests > 0 {
		y.after(p.Surge.At, func() {
			for range p.Surge.Requests {
				y.start()
			}
		})
	}
	y.after(0, y.sampleSpread)
	for len(y.queue) > 0 {
		next := heap.Pop(&y.queue).(event)
		y.now = next.at
		next.run()
	}
	y.result.servers = y.servers
	y.result.Spread = y.spread.spread(p.Duration, len(y.instances))
	return y.result
}

// after schedules a function.
func (y *player) after(delay time.Duration, run func()) {
	y.scheduled++
	heap.Push(&y.queue, event{at: y.now + delay, order: y.scheduled, run: run})
}

func (y *player) clock() time.Time { return start.Add(y.now) }

func domainName(index int) fleet.Domain { return fleet.Domain(fmt.Sprintf("domain-%d", index)) }

func (y *player) addServers() {
	for d, domain := range y.pattern.Domains {
		for range domain.Servers {
			id := fleet.ServerID(fmt.Sprintf("s-%03d", len(y.servers)))
			s := &server{info: registry.Server{
				Incarnation: registry.Incarnation{ID: id, StartedAt: 1},
				Service:     "service",
				Domain:      domainName(d),
				Address:     "10.0.0.1:80",
				Slots:       y.pattern.Slots,
				Presence:    fleet.Live,
			}}
			s.addNoise(&y.pattern, y.random)
			y.byID[id] = len(y.servers)
			y.servers = append(y.servers, s)
		}
	}
	total := 0
	for _, domain := range y.pattern.Domains {
		total += domain.Instances
	}
	for _, fault := range y.pattern.Faults {
		count := int(fault.Share * float64(len(y.servers)))
		for _, i := range y.random.Perm(len(y.servers))[:count] {
			disturbed := span{from: fault.At, to: fault.At + fault.For, fault: fault}
			if fault.Kind == Cut {
				disturbed.cutFrom = make(map[int]bool)
				from := fault.From
				if len(from) == 0 {
					from = y.random.Perm(total)[:int(fault.Strength*float64(total)+0.5)]
				}
				for _, from := range from {
					disturbed.cutFrom[from] = true
				}
			}
			y.servers[i].faults = append(y.servers[i].faults, disturbed)
		}
	}
}

func (y *player) addInstances() {
	y.byDomain = make([][]*instance, len(y.pattern.Domains))
	for d, domain := range y.pattern.Domains {
		first := len(y.instances)
		for range domain.Instances {
			i := &instance{
				id:     fleet.InstanceID(fmt.Sprintf("i-%03d", len(y.instances))),
				index:  len(y.instances),
				domain: d,
				quota:  retry.NewWindow(y.quota()),
				shares: fairness.NewShares(nil),
				delays: y.newDelays(),
				pool:   balance.NewPool(balance.Options{Instance: fleet.InstanceID(fmt.Sprintf("i-%03d", len(y.instances))), Domain: domainName(d), Random: y.random, Events: noEvents{}}),
			}
			i.pool.SetUnattended(y.unattended())
			y.list(i)
			y.instances = append(y.instances, i)
			if !domain.NoCallers {
				y.byDomain[d] = append(y.byDomain[d], i)
				y.entries = append(y.entries, i)
			}
			y.after(time.Duration(y.random.Int64N(int64(y.pattern.ReportInterval))), func() { y.report(i) })
		}
		var active []fleet.InstanceID
		for _, i := range y.instances[first:] {
			active = append(active, i.id)
		}
		for _, i := range y.instances[first:] {
			i.pool.SetActive(active)
		}
	}
}

// quota returns the part of the quota of repeats that one instance has.
func (y *player) quota() retry.Quota {
	total := 0
	for _, domain := range y.pattern.Domains {
		total += domain.Instances
	}
	return retry.Quota{Ratio: y.pattern.RepeatRatio, Allowance: y.pattern.RepeatAllowance / float64(total), Span: repeatSpan}
}

// unattended returns the failure domains without instances that get requests.
func (y *player) unattended() map[fleet.Domain]bool {
	domains := make(map[fleet.Domain]bool)
	for d, domain := range y.pattern.Domains {
		if domain.Instances == 0 || domain.NoCallers {
			domains[domainName(d)] = true
		}
	}
	return domains
}

// list gives an instance the list of the servers that it knows, and again when it gets to
// know another one.
func (y *player) list(i *instance) {
	var listed []registry.Server
	next := y.pattern.Duration
	for index, s := range y.servers {
		join, joins := s.joining()
		if !joins {
			listed = append(listed, s.info)
			continue
		}
		// The delay depends on the server and the instance only.
		known := join.from + (join.to-join.from)*time.Duration((index*7+i.index*3)%joinSteps+1)/joinSteps
		if known <= y.now {
			listed = append(listed, s.info)
		} else {
			next = min(next, known)
		}
	}
	i.pool.Update(listed)
	if next < y.pattern.Duration {
		y.after(next-y.now, func() { y.list(i) })
	}
}

// joinSteps is the number of different times at which instances list a new server.
const joinSteps = 10

// report sends the reports of an instance to the others.
func (y *player) report(from *instance) {
	if y.now >= y.pattern.Duration {
		return
	}
	reports := from.pool.CollectReports(y.clock())
	if y.now >= y.spread.from {
		y.spread.reports += len(reports)
	}
	for _, to := range y.instances {
		if to == from || len(reports) == 0 || y.random.Float64() < y.pattern.ReportLoss {
			continue
		}
		y.after(time.Duration(y.random.Int64N(int64(y.pattern.ReportDelay))), func() { to.pool.ApplyReports(y.clock(), from.id, reports) })
	}
	y.after(y.pattern.ReportInterval, func() { y.report(from) })
}

// arrive starts a request at an instance and schedules the next one.
func (y *player) arrive() {
	if y.now >= y.pattern.Duration {
		return
	}
	y.after(time.Duration(y.random.ExpFloat64()/y.pattern.rate(y.now)*float64(time.Second)), y.arrive)
	y.start()
}

// start starts a request at an instance.
func (y *player) start() {
	kind := y.drawKind()
	r := &request{
		index:    len(y.result.Requests),
		kind:     kind,
		customer: y.drawCustomer(),
		deadline: y.now + kind.Deadline,
	}
	if y.pattern.RetryAtOnceShare > 0 && y.random.Float64() < y.pattern.RetryAtOnceShare {
		r.retriesAtOnce = immediateRetries
	}
	y.result.Requests = append(y.result.Requests, Request{
		ArrivedAt: y.now, Outcome: Failed, Kind: kind.Name, Customer: r.customer,
		RetriedAtOnce: r.retriesAtOnce > 0, worth: kind.Worth, lateWorth: kind.LateWorth,
	})
	from := y.entry()
	y.result.Requests[r.index].Domain = from.domain
	y.begin(from, r)
}

// begin admits a request, or refuses it by the quota of its customer, and sends it.
func (y *player) begin(at *instance, r *request) {
	if !y.admit(at, r) {
		y.end(r, OverQuota)
		return
	}
	y.recordFirstAttempt(at)
	y.send(at, r)
}

// entry draws the instance to which the caller of a request is connected.
func (y *player) entry() *instance {
	near := y.byDomain[y.drawDomain()]
	if len(near) == 0 {
		near = y.entries
	}
	return near[y.random.IntN(len(near))]
}

// drawDomain draws the failure domain of a caller.
func (y *player) drawDomain() int {
	total, uneven := 0.0, false
	for _, domain := range y.pattern.Domains {
		total += domain.weight(y.now)
		uneven = uneven || domain.Callers > 0 || domain.Burst.Factor > 0
	}
	if !uneven {
		return y.random.IntN(len(y.byDomain))
	}
	point := total * y.random.Float64()
	for d, domain := range y.pattern.Domains {
		weight := domain.weight(y.now)
		if point < weight {
			return d
		}
		point -= weight
	}
	return len(y.byDomain) - 1
}

// drawKind draws the kind of a request.
func (y *player) drawKind() Kind {
	p := &y.pattern
	if len(y.kinds) == 0 {
		return Kind{
			Name: defaultKind, Idempotent: y.random.Float64() < p.IdempotentShare, Work: p.Work,
			LatencyObjective: p.LatencyObjective, Deadline: p.Deadline, Worth: 1, LateWorth: lateWorth,
		}
	}
	total := 0.0
	for _, k := range y.kinds {
		if y.now >= k.From {
			total += k.Share
		}
	}
	point := total * y.random.Float64()
	drawn := y.kinds[0]
	for _, k := range y.kinds {
		if y.now < k.From {
			continue
		}
		drawn = k
		if point < k.Share {
			break
		}
		point -= k.Share
	}
	return drawn
}

// drawCustomer draws the customer of a request, empty if the pattern has none.
func (y *player) drawCustomer() fleet.Customer {
	total := 0.0
	for _, c := range y.pattern.Customers {
		total += c.Share * c.Burst.factor(y.now)
	}
	if total == 0 {
		return ""
	}
	point := total * y.random.Float64()
	for _, c := range y.pattern.Customers {
		share := c.Share * c.Burst.factor(y.now)
		if point < share {
			return c.Name
		}
		point -= share
	}
	return y.pattern.Customers[0].Name
}

// comeBack sends a refused request again after a while, if its time permits.
func (y *player) comeBack(from *instance, r *request) {
	y.returnQuota(from, r)
	if r.retriesAtOnce > 0 {
		r.retriesAtOnce--
		r.tried, r.sends = nil, 0
		y.after(callerTime, func() {
			y.begin(from, r)
		})
		return
	}
	y.result.Refusals++
	if y.pattern.Callers == GiveUp {
		y.end(r, Refused)
		return
	}
	wait := from.delays.Delay(y.now)
	if minReturns*wait > r.deadline-y.now {
		y.end(r, Refused)
		return
	}
	y.after(wait, func() {
		r.tried, r.sends = nil, 0
		y.begin(from, r)
	})
}

func (y *player) recordFirstAttempt(at *instance) {
	at.quota.RecordFirstAttempt(y.clock())
	y.result.firstAttempts = append(y.result.firstAttempts, y.now)
}

// tryRepeat takes a part of the quota of repeats for another attempt, and reports whether
// there is one.
func (y *player) tryRepeat(a *attempt) bool {
	if !a.from.quota.TryRepeat(y.clock(), a.request.kind.Priority) {
		return false
	}
	y.result.repeats = append(y.result.repeats, y.now)
	return true
}

// send makes the next attempt of a request.
func (y *player) send(from *instance, r *request) {
	r.sends++
	slotTime := from.pool.ExpectedDuration(balance.RequestKind(r.kind.Name), r.kind.LatencyObjective)
	standing := from.shares.Standing(y.clock(), r.customer)
	if r.sends == 1 {
		standing = from.shares.RecordOffered(y.clock(), r.customer, slotTime)
	}
	chosen, picked := from.pool.Pick(y.clock(), balance.PickOptions{
		Kind:             balance.RequestKind(r.kind.Name),
		Idempotent:       r.kind.Idempotent,
		Priority:         r.kind.Priority,
		Reserve:          standing.Reserve,
		HasCustomers:     len(y.pattern.Customers) > 0,
		AllowTrial:       r.kind.Idempotent && r.runs == 0 && from.quota.RemainingRepeats(y.clock(), r.kind.Priority) >= minRepeatsForTrial,
		LatencyObjective: r.kind.LatencyObjective,
		TimeLeft:         r.deadline - y.now,
		RequestBytes:     r.kind.RequestBytes,
		Exclude:          r.tried,
	})
	switch {
	case picked == balance.NoRoom:
		from.shares.RecordRefused(y.clock(), r.customer)
	case picked == balance.Chosen && r.sends == 1:
		from.shares.RecordAdmitted(y.clock(), r.customer, slotTime)
	}
	switch {
	case picked != balance.Chosen && len(r.outstanding) > 0:
		return
	case picked != balance.Chosen && r.runs == 0:
		y.comeBack(from, r)
		return
	case picked != balance.Chosen:
		y.end(r, Failed)
		return
	}
	r.reached = true
	r.tried = append(r.tried, chosen.Server.Incarnation)
	index := y.byID[chosen.Server.ID]
	if chosen.Server.Domain != domainName(from.domain) {
		y.result.Requests[r.index].Remote = true
	}
	a := &attempt{chosen: chosen, from: from, request: r, server: y.servers[index]}
	r.outstanding = append(r.outstanding, a)
	r.runs++
	if r.kind.Idempotent {
		y.scheduleHedge(a)
	}
	if cut, ok := a.server.active(Cut, y.now); ok && cut.cutFrom[from.index] {
		y.after(cutTime, func() { y.finish(a, balance.Unreachable) })
		return
	}
	y.result.Arrivals = append(y.result.Arrivals, Arrival{At: y.now, Server: index})
	y.take(a)
}

// scheduleHedge sends the request to a second server if the attempt takes much longer than
// expected.
func (y *player) scheduleHedge(a *attempt) {
	factor := hedgeFactor
	if a.chosen.Trial {
		factor = trialHedgeFactor
	}
	y.after(time.Duration(factor*float64(a.chosen.ExpectedDuration))+hedgeMargin, func() {
		r := a.request
		if a.over || r.runs >= maxRuns || r.sends >= maxSends || r.deadline-y.now <= a.chosen.ExpectedDuration/2 {
			return
		}
		if y.tryRepeat(a) {
			y.send(a.from, r)
		}
	})
}

// take is the arrival of an attempt at its server.
func (y *player) take(a *attempt) {
	s := a.server
	y.recordArrival(a)
	if share := s.hangShare(y.now, a.from.index, &y.pattern); share > 0 && y.random.Float64() < share {
		y.after(a.request.deadline-y.now, func() { y.finish(a, balance.Stalled) })
		return
	}
	f, shedding := s.active(Shed, y.now)
	full := len(s.waiting) >= y.pattern.Queue
	if full {
		y.result.Overflows = append(y.result.Overflows, y.now)
	}
	if shedding && y.random.Float64() < f.fault.Strength || full {
		y.after(shedTime, func() { y.finish(a, balance.Shed) })
		return
	}
	if s.running >= int(y.pattern.Slots) {
		s.waiting = append(s.waiting, &run{attempt: a, deadline: a.request.deadline})
		return
	}
	y.work(a)
}

// work runs an attempt in a slot.
func (y *player) work(a *attempt) {
	s := a.server
	s.running++
	a.running = true
	failed := y.random.Float64() < s.failShare(y.now, &y.pattern)
	needed := s.workTime(y.now, a.request.kind.Work, y.random)
	if failed {
		needed /= 4
	}
	result := balance.Succeeded
	switch {
	case y.now+needed > a.request.deadline:
		needed, result = max(a.request.deadline-y.now, 0), balance.Stalled
	case failed:
		result = balance.Failed
	}
	y.after(needed, func() {
		if !a.running {
			return
		}
		a.running = false
		s.running--
		y.finish(a, result)
		y.fillSlots(s)
	})
}

// fillSlots begins with attempts that wait for a slot.
func (y *player) fillSlots(s *server) {
	for len(s.waiting) > 0 && s.running < int(y.pattern.Slots) {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		y.work(next.attempt)
	}
}

// cancel ends an attempt at its server, as the end of its connection does.
func (y *player) cancel(a *attempt) {
	s := a.server
	s.waiting = slices.DeleteFunc(s.waiting, func(r *run) bool { return r.attempt == a })
	if a.running {
		a.running = false
		s.running--
		y.fillSlots(s)
	}
}

// finish ends an attempt, and the request unless another attempt may follow.
func (y *player) finish(a *attempt, result balance.Result) {
	if a.over {
		return
	}
	a.over = true
	load := balance.Load{}
	if result == balance.Succeeded || result == balance.Failed || result == balance.Shed {
		y.recordIdle(a)
	}
	if result == balance.Succeeded || result == balance.Failed {
		load = balance.Load{Running: a.server.running, Waiting: len(a.server.waiting), Slots: y.pattern.Slots}
	}
	a.chosen.Finish(y.clock(), result, load)
	if result == balance.Succeeded || result == balance.Failed {
		a.from.delays.RecordEnded(y.now)
	}
	r := a.request
	r.outstanding = slices.DeleteFunc(r.outstanding, func(o *attempt) bool { return o == a })
	notRun := result == balance.Shed || result == balance.Unreachable
	if notRun {
		r.runs--
	}
	mayRepeat := notRun || r.kind.Idempotent && r.runs < maxRuns
	switch {
	case result == balance.Succeeded:
		y.end(r, Served)
	case len(r.outstanding) > 0:
	case mayRepeat && r.sends < maxSends && y.now < r.deadline && (result == balance.Unreachable || y.tryRepeat(a)):
		y.send(a.from, r)
	case notRun && r.runs == 0:
		y.comeBack(a.from, r)
	default:
		y.end(r, Failed)
	}
}

func (y *player) end(r *request, outcome Outcome) {
	for _, a := range r.outstanding {
		a.over = true
		a.chosen.Finish(y.clock(), balance.Abandoned, balance.Load{})
		y.cancel(a)
	}
	r.outstanding = nil
	record := &y.result.Requests[r.index]
	record.EndedAt, record.Outcome = y.now, outcome
	if outcome == Served && y.now-record.ArrivedAt > r.kind.LatencyObjective {
		record.Outcome = Late
	}
}

// noEvents ignores the events of a pool.
type noEvents struct{}

// ServerSuspected implements balance.Events.
func (noEvents) ServerSuspected(registry.Server, balance.Result, time.Duration, float64) {}

// ServerCleared implements balance.Events.
func (noEvents) ServerCleared(registry.Server, time.Duration) {}

// ServerAnnouncedLeaving implements balance.Events.
func (noEvents) ServerAnnouncedLeaving(registry.Server) {}

// ServerPaused implements balance.Events.
func (noEvents) ServerPaused(registry.Server, time.Duration) {}

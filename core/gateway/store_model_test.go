package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

const (
	modelInstances = 3
	modelServers   = 4
	// modelSteps is the number of steps of one run. With the 100 runs that rapid makes by
	// default these are 10,000 steps; -rapid.checks=10000 makes a million.
	modelSteps = 100
	// modelMessages bounds the messages between instances that are under way.
	modelMessages = 12
	// settleRounds is the number of rounds without faults, each of tickInterval, after
	// which all instances must have what the store has.
	settleRounds = 80
)

// modelEvent is a write of the store. Its sequence number is unique over all eras, and is
// also the number of slots of the written server, so that the server shows which write it
// comes from.
type modelEvent struct {
	id       fleet.ServerID
	revision fleet.Revision
	sequence int
	// server is nil for a removal.
	server *registry.Server
}

// modelStore is the store, and what the servers last wrote to it.
type modelStore struct {
	era      fleet.Era
	sequence int
	// eras holds the writes of each era, with those before the snapshot it began with.
	eras map[fleet.Era][]modelEvent
	// lastBefore holds the number of the last write before each era.
	lastBefore map[fleet.Era]int
	// restoredAt holds the time at which each era began.
	restoredAt map[fleet.Era]time.Time
	// latest holds the last write of each server, also if a restore has lost it.
	latest map[fleet.ServerID]modelEvent
	// startedAt holds the latest start of each server. A server whose entry was removed
	// while it was alive writes it again with the same start.
	startedAt map[fleet.ServerID]registry.StartTime
}

func (s *modelStore) position() fleet.Position {
	p := fleet.Position{Era: s.era, Revision: 100}
	if events := s.eras[s.era]; len(events) > 0 {
		p.Revision = events[len(events)-1].revision
	}
	return p
}

// write writes the entry of a server, or removes it if the server is nil.
func (s *modelStore) write(id fleet.ServerID, server *registry.Server) {
	s.sequence++
	event := modelEvent{id: id, revision: s.position().Revision + 1, sequence: s.sequence}
	if server != nil {
		written := *server
		written.Slots = fleet.Slots(s.sequence)
		event.server = &written
	}
	s.eras[s.era] = append(s.eras[s.era], event)
	s.latest[id] = event
}

// restore returns to the state before the last writes, in a new era.
func (s *modelStore) restore(lost int) {
	events := s.eras[s.era]
	s.era++
	s.lastBefore[s.era] = s.sequence
	s.restoredAt[s.era] = time.Now()
	s.eras[s.era] = slices.Clone(events[:max(len(events)-lost, 0)])
}

// content returns the entries at a position.
func (s *modelStore) content(p fleet.Position) map[fleet.ServerID]modelEvent {
	entries := make(map[fleet.ServerID]modelEvent)
	for _, event := range s.eras[p.Era] {
		switch {
		case event.revision > p.Revision:
			return entries
		case event.server == nil:
			delete(entries, event.id)
		default:
			entries[event.id] = event
		}
	}
	return entries
}

// lostWrites returns the servers whose last write the store has lost.
func (s *modelStore) lostWrites() []fleet.ServerID {
	entries := s.content(s.position())
	var lost []fleet.ServerID
	for _, id := range slices.Sorted(maps.Keys(s.latest)) {
		stored, exists := entries[id]
		if last := s.latest[id]; exists != (last.server != nil) || exists && stored.sequence != last.sequence {
			lost = append(lost, id)
		}
	}
	return lost
}

// modelCall is a call of a follower to the store that waits for its response.
type modelCall struct {
	// after is the position of a watch; zero for a listing.
	after fleet.Position
	reply chan modelReply
	// firstPage holds the entries of the first page of a listing once it is read, as of
	// position.
	firstPage map[fleet.ServerID]modelEvent
	position  fleet.Position
	response  *modelReply
}

type modelReply struct {
	listing  follow.Listing
	changes  []follow.Change
	position fleet.Position
	err      error
}

// secondPage is the first server of the second page of a listing.
const secondPage fleet.ServerID = "s2"

// answer computes the response to a call from the present state of the store. A listing has
// two pages and is computed in two steps.
func (s *modelStore) answer(c *modelCall) {
	if !c.after.IsZero() {
		c.response = s.answerWatch(c.after)
		return
	}
	entries := s.content(s.position())
	if c.firstPage == nil || c.position.Era != s.era {
		c.firstPage, c.position = entries, s.position()
		return
	}
	reply := &modelReply{position: c.position}
	for id, event := range c.firstPage {
		if id < secondPage {
			reply.listing.Servers = append(reply.listing.Servers, modelServer(s.era, event))
		}
	}
	for id, event := range entries {
		if id >= secondPage {
			reply.listing.Servers = append(reply.listing.Servers, modelServer(s.era, event))
		}
	}
	c.response = reply
}

// answerWatch returns the changes after a position, in another era than requested also
// those that a store returns for a revision that it has issued again.
func (s *modelStore) answerWatch(after fleet.Position) *modelReply {
	reply := &modelReply{position: s.position()}
	if after.Revision > reply.position.Revision {
		reply.err = follow.ErrCompacted
		return reply
	}
	for _, event := range s.eras[s.era] {
		if event.revision > after.Revision {
			reply.changes = append(reply.changes, modelChange(s.era, event))
		}
	}
	return reply
}

// modelProcess is one run of an instance. It implements the interfaces of Options and
// follow.Store.
type modelProcess struct {
	*recorder
	model    *storeModel
	id       fleet.InstanceID
	loop     *Loop
	follower *follow.Follower
	stop     context.CancelFunc
	call     atomic.Pointer[modelCall]
	// newestRemoval holds the last write that made entries of an incarnation outdated, among
	// those that this process has applied, unless it then saw the incarnation live again.
	newestRemoval map[registry.Incarnation]int
	// known holds the incarnations that this process has ever listed. It cannot apply the
	// removal of another one, since a listing does not show it.
	known map[registry.Incarnation]bool
	// position, live and confirmedAt are the position, the live servers and the time at which the
	// copy was last confirmed, at the last check.
	position    fleet.Position
	live        []registry.Incarnation
	confirmedAt time.Time
	// keptUntil holds the servers that were live when the era rose, and the time until which
	// they must stay in use.
	keptUntil map[registry.Incarnation]time.Time
}

// modelClock is the clock of the bubble that the test runs in.
type modelClock struct{}

func (modelClock) Now() time.Time { return time.Now() }

func (modelClock) NewTicker(interval time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(interval)
	return ticker.C, ticker.Stop
}

func (modelClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// request waits for the response to a call.
func (p *modelProcess) request(ctx context.Context, after fleet.Position) modelReply {
	c := &modelCall{after: after, reply: make(chan modelReply, 1)}
	p.call.Store(c)
	select {
	case reply := <-c.reply:
		return reply
	case <-ctx.Done():
		return modelReply{err: ctx.Err()}
	}
}

// Configuration implements follow.Store.
func (p *modelProcess) Configuration(context.Context) (*route.Document, error) { return nil, nil }

// SetMode implements StoreFollower.
func (p *modelProcess) SetMode(mode follow.Mode) { p.follower.SetMode(mode) }

// storeModel is a store, the instances that follow it, and the messages between them.
type storeModel struct {
	// restores is set if the store reports eras and may be restored.
	restores  bool
	store     *modelStore
	processes []*modelProcess
	// messages are under way. A message to a process that has ended has no effect.
	messages []func()
}

func (m *storeModel) start(index int) {
	p := &modelProcess{
		recorder:      &recorder{reported: make(map[fleet.Address][]balance.ServerReport)},
		model:         m,
		id:            fleet.InstanceID(fmt.Sprintf("a-%d", index)),
		newestRemoval: make(map[registry.Incarnation]int),
		known:         make(map[registry.Incarnation]bool),
		keptUntil:     make(map[registry.Incarnation]time.Time),
	}
	p.loop = New(Options{
		Self:          workset.Heartbeat{Member: fleet.Member{ID: p.id, Incarnation: fleet.Incarnation(time.Now().UnixNano())}, Domain: "a", PeerAddress: fleet.Address(p.id), CallerAddress: fleet.Address(p.id), Cores: 1},
		Clock:         modelClock{},
		Peers:         p,
		StoreFollower: p,
		CopyFetcher:   p,
		Traffic:       p,
		Random:        p,
		Events:        p,
		Quota:         retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
	})
	p.follower = follow.New(follow.Options{Store: p, Sink: p.loop, Clock: modelClock{}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.follower.Run(ctx)
	}()
	p.stop = func() {
		cancel()
		<-ended
	}
	p.loop.ApplyConfiguration(&route.Document{Version: 1, Services: []route.Service{{Name: "s"}}})
	m.processes[index] = p
}

// send adds a message from one process to another; the newest is lost if too many are
// under way.
func (m *storeModel) send(message func()) {
	if len(m.messages) < modelMessages {
		m.messages = append(m.messages, message)
	}
}

// isRunning reports whether a process has not been replaced.
func (m *storeModel) isRunning(p *modelProcess) bool { return slices.Contains(m.processes, p) }

// process returns the running process with an address.
func (m *storeModel) process(address fleet.Address) *modelProcess {
	return m.processes[slices.IndexFunc(m.processes, func(p *modelProcess) bool { return fleet.Address(p.id) == address })]
}

// requestCopy sends a request for the copy of a peer, which sends it back.
func (p *modelProcess) requestCopy(peer fleet.Address, fetch func(*Loop) follow.Listing) {
	m := p.model
	m.send(func() {
		source := m.process(peer)
		if !source.loop.state.loaded() {
			return
		}
		listing := fetch(source.loop)
		// The transfer takes some time.
		listing.Age += time.Millisecond
		m.send(func() {
			if m.isRunning(p) {
				p.loop.ApplyListing(listing, false)
			}
		})
	})
}

// heartbeat sends the state of a process to another one.
func (m *storeModel) heartbeat(from, to *modelProcess) {
	s := &from.loop.state
	heartbeat := modelHeartbeat(from.id, s)
	heartbeat.Ready = s.loaded()
	m.send(func() {
		if m.isRunning(to) {
			to.loop.HandleHeartbeat(heartbeat)
		}
	})
}

// settle lets all processes do what they can without time passing.
func (m *storeModel) settle() {
	for range 2 {
		synctest.Wait()
		for _, p := range m.processes {
			runCommands(p.loop)
		}
	}
}

// actions returns the steps of the model. Each makes one choice, so that rapid can shorten
// a failing run.
func (m *storeModel) actions(t *rapid.T) map[string]func() {
	anyProcess := func() *modelProcess { return m.processes[rapid.IntRange(0, modelInstances-1).Draw(t, "process")] }
	anyServer := func() fleet.ServerID {
		return fleet.ServerID(fmt.Sprintf("s%d", rapid.IntRange(0, modelServers-1).Draw(t, "server")))
	}
	anyMessage := func() int { return rapid.IntRange(0, len(m.messages)-1).Draw(t, "message") }
	return map[string]func(){
		"write": func() {
			m.writeServer(anyServer(), rapid.SampledFrom([]string{"live", "leaving", "removed", "restarted"}).Draw(t, "as"))
		},
		"rewrite": func() { m.rewrite(1) },
		"restore": func() {
			if m.restores {
				m.store.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			}
		},
		"answer": func() {
			if c := anyProcess().call.Load(); c != nil && c.response == nil {
				m.store.answer(c)
			}
		},
		"deliver": func() { anyProcess().deliver() },
		"fail": func() {
			p := anyProcess()
			if c := p.call.Load(); c != nil {
				c.response = &modelReply{err: errors.New("the store does not respond")}
				p.deliver()
			}
		},
		"enable":    func() { anyProcess().follower.SetMode(rapid.SampledFrom(follow.ModeValues()).Draw(t, "mode")) },
		"heartbeat": func() { m.heartbeat(anyProcess(), anyProcess()) },
		"receive": func() {
			if len(m.messages) > 0 {
				m.receive(anyMessage())
			}
		},
		"duplicate": func() {
			if len(m.messages) > 0 {
				m.messages[anyMessage()]()
			}
		},
		"lose": func() {
			if len(m.messages) > 0 {
				index := anyMessage()
				m.messages = slices.Delete(m.messages, index, index+1)
			}
		},
		"wait": func() { m.wait(time.Duration(rapid.SampledFrom([]int{1, 3, 25}).Draw(t, "ticks")) * tickInterval) },
		"restart": func() {
			index := rapid.IntRange(0, modelInstances-1).Draw(t, "index")
			m.processes[index].stop()
			m.start(index)
		},
	}
}

// actionWeights holds the steps in the order of their names, the frequent ones several times.
var actionWeights = []string{
	"answer", "answer", "answer", "answer", "deliver", "deliver", "deliver", "duplicate", "enable", "fail", "heartbeat", "heartbeat", "heartbeat",
	"lose", "receive", "receive", "receive", "receive", "receive", "restart", "restore", "rewrite", "rewrite", "wait", "wait", "write", "write", "write",
}

// writeServer writes the entry of a server, which only a live server without an entry or
// with one of its own does.
func (m *storeModel) writeServer(id fleet.ServerID, as string) {
	last := m.store.latest[id].server
	if last == nil && as != "live" && as != "restarted" {
		return
	}
	server := testServer(id, fleet.Live)
	if start, started := m.store.startedAt[id]; started {
		server.StartedAt = start
	}
	switch as {
	case "leaving":
		server.Presence = fleet.Leaving
	case "restarted":
		server.StartedAt = registry.StartTime(m.store.sequence + 2)
	case "removed":
		m.store.write(id, nil)
		return
	}
	m.store.startedAt[id] = server.StartedAt
	m.store.write(id, &server)
}

// rewrite writes again what the store has lost, at most a number of entries.
func (m *storeModel) rewrite(limit int) {
	lost := m.store.lostWrites()
	for _, id := range lost[:min(len(lost), limit)] {
		m.store.write(id, m.store.latest[id].server)
	}
}

// deliver passes the response to the waiting call of the follower, if there is one.
func (p *modelProcess) deliver() {
	if c := p.call.Load(); c != nil && c.response != nil {
		p.call.Store(nil)
		c.reply <- *c.response
	}
}

func (m *storeModel) receive(index int) {
	message := m.messages[index]
	m.messages = slices.Delete(m.messages, index, index+1)
	message()
}

// wait lets time pass, with the ticks of all processes.
func (m *storeModel) wait(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		time.Sleep(tickInterval)
		m.settle()
		for _, p := range m.processes {
			p.loop.state.tick()
		}
	}
}

// positions returns the positions of all copies.
func (m *storeModel) positions() []fleet.Position {
	var positions []fleet.Position
	for _, p := range m.processes {
		positions = append(positions, p.loop.state.position)
	}
	return positions
}

// check checks all processes after a step.
func (m *storeModel) check(t require.TestingT) {
	for _, p := range m.processes {
		p.checkCopy(t)
	}
}

// checkCopy checks the copy of a process against the store at the position of the copy.
func (p *modelProcess) checkCopy(t require.TestingT) {
	state := &p.loop.state
	position := state.position
	if position.IsZero() {
		return
	}
	later := make(map[int]bool)
	for _, event := range p.model.store.eras[position.Era] {
		if event.revision > position.Revision {
			later[event.sequence] = true
			continue
		}
		p.recordRemoval(event)
	}
	content := p.model.store.content(position)
	if !p.position.IsZero() && position.Era > p.position.Era {
		clear(p.keptUntil)
		until := p.mustKeepUntil(position.Era)
		for _, incarnation := range p.live {
			p.keptUntil[incarnation] = until
		}
	}
	require.False(t, position.Before(p.position), "%s went back from %v to %v", p.id, p.position, position)
	p.position, p.live, p.confirmedAt = position, nil, state.confirmedAt
	used := make(map[fleet.ServerID]registry.Server)
	for _, server := range p.loop.View().Registry().Servers("s") {
		used[server.ID], p.known[server.Incarnation] = server, true
		sequence := int(server.Slots)
		if server.Presence != fleet.Live || isMissing(state, server.ID) {
			// A server that a listing lacks after an outage or a restore is kept for lapseGrace.
			continue
		}
		p.live = append(p.live, server.Incarnation)
		require.Greater(t, sequence, p.newestRemoval[server.Incarnation], "%s at %v: %s is in use by write %d, though a later removal was applied", p.id, position, server.ID, sequence)
		if stored, exists := content[server.ID]; !later[sequence] {
			require.True(t, exists, "%s at %v: %s is in use by write %d, though the store has no such entry", p.id, position, server.ID, sequence)
			require.Equal(t, stored.sequence, sequence, "%s at %v: entry of %s", p.id, position, server.ID)
		}
	}
	for id, stored := range content {
		if p.newestRemoval[stored.server.Incarnation] >= stored.sequence || p.model.store.isReplaced(stored.server.Incarnation) || hasLater(p.model.store.eras[position.Era], id, position) {
			continue
		}
		server, listed := used[id]
		require.True(t, listed, "%s at %v: %s of write %d is missing", p.id, position, id, stored.sequence)
		require.GreaterOrEqual(t, int(server.Slots), stored.sequence, "%s at %v: entry of %s", p.id, position, id)
	}
	p.checkKept(t, used)
	for _, server := range used {
		if server.Presence == fleet.Live && !isMissing(state, server.ID) {
			delete(p.newestRemoval, server.Incarnation)
		}
	}
}

// mustKeepUntil returns the time until which this process, which now has the first listing of an
// era, must keep servers that the listing lacks: live servers have written their entries again
// lapseGrace after the restore. A process that knows only that the restore came after its copy was
// last confirmed cannot tell it from a cut of its own path, after which a server that left must
// not be used for longer.
func (p *modelProcess) mustKeepUntil(era fleet.Era) time.Time {
	until := fleet.Earlier(time.Now(), p.model.store.restoredAt[era]).Add(lapseGrace)
	return fleet.Earlier(until, p.confirmedAt.Add(defaultSettleTime-settleMargin))
}

// checkKept checks that the servers that were live before a restore stay in use until the end
// of the grace period, unless the store lists them otherwise or they were written again.
func (p *modelProcess) checkKept(t require.TestingT, used map[fleet.ServerID]registry.Server) {
	store := p.model.store
	for incarnation, until := range p.keptUntil {
		server, listed := used[incarnation.ID]
		stored, exists := store.content(p.position)[incarnation.ID]
		switch {
		case !time.Now().Before(until) || slices.ContainsFunc(store.eras[p.position.Era], func(e modelEvent) bool {
			return e.id == incarnation.ID && e.sequence > store.lastBefore[p.position.Era]
		}):
			delete(p.keptUntil, incarnation)
		case exists && (stored.server.Presence != fleet.Live || stored.server.StartedAt > incarnation.StartedAt):
		default:
			require.True(t, listed && server.Incarnation == incarnation && server.Presence == fleet.Live,
				"%s at %v: %v was live and was not written again, but is not in use: %v", p.id, p.position, incarnation, server)
		}
	}
}

// recordRemoval records a write that this process has applied: the removal of a server or
// its last state before its end, after which the earlier entries of its incarnations must not
// be used, or the start of a new incarnation.
func (p *modelProcess) recordRemoval(event modelEvent) {
	for incarnation := range p.known {
		if incarnation.ID != event.id || isMissing(&p.loop.state, event.id) {
			// A server that is kept for a grace period does not count as removed yet.
			continue
		}
		outdated := event.server == nil || incarnation.StartedAt < event.server.StartedAt ||
			incarnation == event.server.Incarnation && event.server.Presence != fleet.Live
		if outdated {
			p.newestRemoval[incarnation] = max(p.newestRemoval[incarnation], event.sequence)
		}
	}
}

// isReplaced reports whether a later incarnation of a server has written its entry. An
// instance that knows the later one ignores an entry of the earlier one from a snapshot, and
// does not pass it on.
func (s *modelStore) isReplaced(incarnation registry.Incarnation) bool {
	return s.startedAt[incarnation.ID] > incarnation.StartedAt
}

// hasLater reports whether a server has a write after a position, which the second page of
// a listing may have.
func hasLater(events []modelEvent, id fleet.ServerID, position fleet.Position) bool {
	return slices.ContainsFunc(events, func(e modelEvent) bool { return e.id == id && e.revision > position.Revision })
}

// isSettled reports whether all copies have the position of the store.
func (m *storeModel) isSettled() bool {
	return !slices.ContainsFunc(m.positions(), func(p fleet.Position) bool { return p != m.store.position() })
}

// finish plays the model without faults, after which all instances must have what the store
// has.
func (m *storeModel) finish(t *rapid.T) {
	for _, p := range m.processes {
		p.follower.SetMode(p.loop.state.reading)
	}
	for round := range settleRounds {
		if round == settleRounds/2 {
			// All instances know the era now, and each server writes its entry once more.
			for _, id := range slices.Sorted(maps.Keys(m.store.latest)) {
				m.store.write(id, m.store.latest[id].server)
			}
		}
		m.rewrite(modelServers)
		if round > settleRounds/2 && m.isSettled() {
			break
		}
		for _, from := range m.processes {
			for _, to := range m.processes {
				if to == from {
					continue
				}
				m.heartbeat(from, to)
				for len(m.messages) > 0 {
					m.receive(0)
					m.settle()
					m.check(t)
				}
			}
			if c := from.call.Load(); c != nil {
				m.store.answer(c)
			}
			from.deliver()
			m.settle()
			m.check(t)
		}
		t.Logf("finish: store at %v, copies at %v", m.store.position(), m.positions())
		m.wait(tickInterval)
	}
	want := make(map[fleet.ServerID]int)
	for id, event := range m.store.content(m.store.position()) {
		want[id] = event.sequence
	}
	for _, p := range m.processes {
		got := make(map[fleet.ServerID]int)
		for _, server := range p.loop.View().Registry().Servers("s") {
			got[server.ID] = int(server.Slots)
		}
		require.Equal(t, m.store.position(), p.loop.state.position, "position of %s", p.id)
		require.Equal(t, want, got, "servers of %s", p.id)
	}
}

// withoutDeadline hides the deadline of the test, which cannot be read in a bubble of
// synctest.
type withoutDeadline struct{ rapid.TB }

// modelServer returns the server that a write of an era describes.
func modelServer(era fleet.Era, event modelEvent) registry.Server {
	server := *event.server
	server.Written = fleet.Position{Era: era, Revision: event.revision}
	return server
}

// modelChange returns the change that a write of an era describes.
func modelChange(era fleet.Era, event modelEvent) follow.Change {
	change := follow.Change{Position: fleet.Position{Era: era, Revision: event.revision}}
	if event.server == nil {
		change.Removed = event.id
		return change
	}
	server := modelServer(era, event)
	change.Server = &server
	return change
}

// List implements follow.Store.
func (p *modelProcess) List(ctx context.Context) (follow.Listing, error) {
	reply := p.request(ctx, fleet.Position{})
	reply.listing.Position = reply.position
	return reply.listing, reply.err
}

// Watch implements follow.Store.
func (p *modelProcess) Watch(ctx context.Context, after fleet.Position, _ time.Duration) (follow.Batch, error) {
	reply := p.request(ctx, after)
	return follow.Batch{From: after, To: reply.position, Changes: reply.changes}, reply.err
}

// FetchChanges implements CopyFetcher. It sends a request to the peer.
func (p *modelProcess) FetchChanges(peer fleet.Address, known fleet.Position) {
	p.requestCopy(peer, func(l *Loop) follow.Listing {
		if !known.IsZero() {
			if listing, err := l.state.changesSince(time.Now(), known); err == nil {
				return listing
			}
		}
		return l.View().Listing(time.Now())
	})
}

func modelHeartbeat(id fleet.InstanceID, s *state) workset.Heartbeat {
	now := time.Now()
	heartbeat := peerHeartbeat(id, "a", 0, s.copyAge(now))
	heartbeat.Position, heartbeat.Version = s.position, s.routes.Version()
	heartbeat.ReadsStore, heartbeat.ReadAge = s.readsStore(now), now.Sub(s.readAt)
	return heartbeat
}

// isMissing reports whether a server is kept for a grace period.
func isMissing(s *state, id fleet.ServerID) bool { return s.registry.View().IsMissing(id) }

// TestStoreModel guards against entries that come back after their removal, against a
// position that is paired with the content of another one, and against instances that never
// have what the store has. It drives the follower, the registry and the control state of
// three instances without a network.
func TestStoreModel(t *testing.T) {
	tests := []struct {
		name     string
		restores bool
	}{
		{"a store without eras", false},
		{"a store that is restored", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(withoutDeadline{t}, func(t *rapid.T) { runStoreModel(t, test.restores) })
			})
		})
	}
}

func runStoreModel(t *rapid.T, restores bool) {
	m := &storeModel{
		restores:  restores,
		store:     &modelStore{eras: make(map[fleet.Era][]modelEvent), lastBefore: make(map[fleet.Era]int), restoredAt: make(map[fleet.Era]time.Time), latest: make(map[fleet.ServerID]modelEvent), startedAt: make(map[fleet.ServerID]registry.StartTime)},
		processes: make([]*modelProcess, modelInstances),
	}
	if restores {
		m.store.era = fleet.Era(rapid.IntRange(0, 1).Draw(t, "era"))
	}
	for index := range m.processes {
		m.start(index)
	}
	defer func() {
		for _, p := range m.processes {
			p.stop()
		}
	}()
	for i := range modelServers - 1 {
		m.writeServer(fleet.ServerID(fmt.Sprintf("s%d", i)), "live")
	}
	for range modelSteps {
		m.actions(t)[rapid.SampledFrom(actionWeights).Draw(t, "action")]()
		m.settle()
		t.Logf("store at %v, copies at %v", m.store.position(), m.positions())
		m.check(t)
	}
	m.finish(t)
}

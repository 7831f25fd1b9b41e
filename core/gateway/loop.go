package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// Loop owns the control state. Its methods may be called concurrently.
type Loop struct {
	options  Options
	commands chan command
	view     atomic.Pointer[View]
	state    state
	loaded   chan struct{}
	loadOnce sync.Once
}

// command changes the control state. It runs on the control goroutine.
type command func(s *state)

// state is the control state. Only the control goroutine uses it.
type state struct {
	options  Options
	routes   *route.State
	document *route.Document
	registry *registry.State
	working  *workset.State
	pools    map[fleet.ServiceName]*dispatch.Upstream
	usable   map[registry.Incarnation]fleet.ServiceName
	batches  []batch
	revision fleet.Revision
	// newest is the highest revision that a peer has stated, behindSince when
	// one was higher than the own one first.
	newest      fleet.Revision
	behindSince time.Time
	confirmedAt time.Time
	// agedAt is when the copy was old last.
	agedAt    time.Time
	startedAt time.Time
	// copies says that another instance has a copy of the store.
	copies   bool
	stopping bool
	lag      lag
	rate     float64
	started  int64
	watching bool
	// activeAt is when this instance got its place.
	activeAt time.Time
	// helpUntil is until when an instance that is not active reads the store.
	helpUntil time.Time
	ticks     int
	storeLost bool
	urgent    bool
	ticked    time.Time
}

// New returns a loop that does not run yet.
func New(options Options) *Loop {
	l := &Loop{options: options, commands: make(chan command, queueSize), loaded: make(chan struct{})}
	l.state = state{
		options:  options,
		routes:   route.NewState(),
		registry: registry.NewState(),
		working: workset.New(workset.Options{
			Self:  options.Self,
			Start: options.Clock.Now(),
			Seeds: options.Seeds,
		}),
		pools:     make(map[fleet.ServiceName]*dispatch.Upstream),
		usable:    make(map[registry.Incarnation]fleet.ServiceName),
		ticked:    options.Clock.Now(),
		startedAt: options.Clock.Now(),
	}
	l.publish()
	return l
}

// View returns the published control state.
func (l *Loop) View() *View { return l.view.Load() }

// Run executes commands until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticks, stop := l.options.Clock.NewTicker(tickEvery)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-l.commands:
			run(&l.state)
		case <-ticks:
			l.state.tick()
		}
		l.state.beat()
		l.publish()
	}
}

// publish makes the state visible.
func (l *Loop) publish() {
	l.view.Store(l.state.publish())
	if l.state.loaded() {
		l.loadOnce.Do(func() { close(l.loaded) })
	}
}

// Loaded returns a channel that is closed when the instance has had a
// configuration and servers.
func (l *Loop) Loaded() <-chan struct{} { return l.loaded }

// do hands a command to the control goroutine, unless the context ends.
func (l *Loop) do(ctx context.Context, run command) {
	select {
	case l.commands <- run:
	case <-ctx.Done():
	}
}

// try hands a command to the control goroutine and drops it if too many wait.
func (l *Loop) try(run command) {
	select {
	case l.commands <- run:
	default:
	}
}

// publish returns the view of the state.
func (s *state) publish() *View {
	return &View{
		routes:      s.routes.Table(),
		registry:    s.registry.View(),
		upstreams:   s.pools,
		usable:      s.usable,
		working:     s.working.View(),
		revision:    s.revision,
		confirmedAt: s.confirmedAt,
		stopping:    s.stopping,
	}
}

// tick does what is due by time.
func (s *state) tick() {
	now := s.options.Clock.Now()
	for _, id := range s.registry.Expire(now) {
		s.options.Events.ServerRemoved(id, true)
	}
	s.applyServers()
	s.noteAge(now)
	if s.lag.tick(now) {
		s.options.Events.MachineSlowChanged(s.lag.slow, s.lag.mean)
	}
	s.ticks++
	if s.working.View().Role() == workset.Idle && s.loaded() && !s.stopping && s.ticks%idleTicks != 0 {
		return
	}
	s.measure(now)
	s.place(now)
	s.tell(now)
}

// applyServers brings the pools up to date with the listed servers.
func (s *state) applyServers() {
	if !s.registry.Publish() {
		return
	}
	view := s.registry.View()
	pools := make(map[fleet.ServiceName]*dispatch.Upstream, len(s.pools))
	usable := make(map[registry.Incarnation]fleet.ServiceName, view.ServerCount())
	for _, name := range view.Services() {
		u, known := s.pools[name]
		if !known {
			u = s.newUpstream(name)
		}
		pools[name] = u
		u.Servers.Update(view.Servers(name))
		for _, server := range view.Servers(name) {
			if server.Presence == fleet.Live {
				usable[server.Incarnation] = name
			}
		}
	}
	for name, u := range s.pools {
		if _, listed := pools[name]; !listed {
			u.Servers.Update(nil)
			pools[name] = u
		}
	}
	s.pools, s.usable = pools, usable
}

func (s *state) newUpstream(name fleet.ServiceName) *dispatch.Upstream {
	return &dispatch.Upstream{
		Name: name,
		Servers: balance.NewPool(balance.Options{
			Domain: s.options.Self.Domain,
			Random: s.options.Random,
			Events: s.options.Events,
		}),
		RepeatWindow: retry.NewWindow(s.quota()),
	}
}

// adopt puts a configuration in force if it is newer.
func (s *state) adopt(document *route.Document) {
	if document == nil {
		return
	}
	adopted, err := s.routes.Adopt(*document)
	switch {
	case err != nil:
		s.options.Events.ConfigRefused(document.Version, err)
	case adopted:
		s.document = document
		s.options.Events.ConfigAdopted(document.Version)
	}
}

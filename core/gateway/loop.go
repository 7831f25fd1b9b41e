package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/fairness"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// Loop owns the control state. Its methods may be called concurrently.
type Loop struct {
	options    Options
	commands   chan command
	view       atomic.Pointer[View]
	state      state
	loaded     chan struct{}
	loadedOnce sync.Once
}

// command changes the control state. Only the control goroutine runs it.
type command func(s *state)

// state is the control state. Only the control goroutine uses it.
type state struct {
	options    Options
	routes     *route.State
	document   *route.Document
	registry   *registry.State
	workingSet *workset.State
	upstreams  map[fleet.ServiceName]*dispatch.Upstream
	usable     map[registry.Incarnation]fleet.ServiceName
	// batches holds the latest changes of the copy, for peers that request them.
	batches []follow.Batch
	// position is the position of the copy of the store; zero if there is none.
	position fleet.Position
	// announcedListing and announcedConfig are what peers have announced.
	announcedListing announcement
	announcedConfig  announcement
	// configReadAt is when this instance last read the configuration by itself because
	// it got none from peers.
	configReadAt time.Time
	confirmedAt  time.Time
	// configConfirmedAt is when the configuration was last known to be current.
	configConfirmedAt time.Time
	// activeAt is when the control goroutine last ran a tick, and resumedAt when it last
	// ran again after a gap of more than freezeGap.
	activeAt  time.Time
	resumedAt time.Time
	// outageSeenAt is when the latest call to the store began that got no response, of this
	// instance or, while it is a backup, of a peer.
	outageSeenAt time.Time
	// settledAt is when the servers that the last listing lacks have left or are listed again.
	settledAt time.Time
	// copyOldAt is the last time at which the copy was older than oldCopyAge.
	copyOldAt time.Time
	startedAt time.Time
	// peerHasCopy is set once a heartbeat shows that another instance has a copy of
	// the store.
	peerHasCopy bool
	// stopPlan is set during a planned stop.
	stopPlan *dispatch.StopPlan
	// refusedConfig is the newest configuration that cannot be used, nil if the active
	// one is newer.
	refusedConfig *follow.ConfigError
	lag           tickLag
	// unattended holds the failure domains of servers without an active instance that gets
	// requests.
	unattended map[fleet.Domain]bool
	// activeInDomain holds the active instances of the own failure domain if this one is
	// active.
	activeInDomain []fleet.InstanceID
	// requestRate is the moving average of the requests per second. requestsStarted
	// is the total number of requests at rateMeasuredAt.
	requestRate     float64
	requestsStarted int64
	// reading is how this instance reads the store, and readAt when its latest call succeeded.
	reading follow.Mode
	readAt  time.Time
	// roleChangedAt is when this instance took its role.
	roleChangedAt time.Time
	// readUntil is the time until which this instance reads the store at least, and listedAt
	// when it got its first listing.
	readUntil time.Time
	listedAt  time.Time
	tickCount int
	// storeLost is set if the latest call to the store failed.
	storeLost bool
	// unused holds the services with unused servers in the last report of unusedReportedAt.
	unused           map[fleet.ServiceName]bool
	unusedReportedAt time.Time
	heartbeatUrgent  bool
	rateMeasuredAt   time.Time
}

// New returns a loop. Its commands are executed by Run.
func New(options Options) *Loop {
	if options.Quotas == nil {
		options.Quotas = quota.New(quota.Options{Self: options.Self.Member, Start: options.Clock.Now()})
	}
	if options.SettleTime <= 0 {
		options.SettleTime = defaultSettleTime
	}
	l := &Loop{options: options, commands: make(chan command, queueSize), loaded: make(chan struct{})}
	l.state = state{
		options:  options,
		routes:   route.NewState(),
		registry: registry.NewState(),
		workingSet: workset.New(workset.Options{
			Self:  options.Self,
			Start: options.Clock.Now(),
			Seeds: options.Seeds,
		}),
		upstreams:      make(map[fleet.ServiceName]*dispatch.Upstream),
		unused:         make(map[fleet.ServiceName]bool),
		usable:         make(map[registry.Incarnation]fleet.ServiceName),
		rateMeasuredAt: options.Clock.Now(),
		startedAt:      options.Clock.Now(),
		activeAt:       options.Clock.Now(),
	}
	l.publish()
	return l
}

// View returns the published control state.
func (l *Loop) View() *View { return l.view.Load() }

// Run executes commands until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticks, stop := l.options.Clock.NewTicker(tickInterval)
	defer stop()
	// The first announcement does not wait for the first tick. Until a seed answers, requests
	// of customers with a quota are refused.
	l.state.sendHeartbeats()
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-l.commands:
			run(&l.state)
		case <-ticks:
			l.state.tick()
		}
		l.state.sendHeartbeats()
		l.publish()
	}
}

// publish publishes the view of the state, and closes the loaded channel once the
// instance has a configuration and servers.
func (l *Loop) publish() {
	l.view.Store(l.state.newView())
	if l.state.loaded() {
		l.loadedOnce.Do(func() { close(l.loaded) })
	}
}

// Loaded returns a channel that is closed once the instance has a configuration and
// servers. It stays closed.
func (l *Loop) Loaded() <-chan struct{} { return l.loaded }

// submit queues a command for the control goroutine. It does nothing if the context
// ends first.
func (l *Loop) submit(ctx context.Context, run command) {
	select {
	case l.commands <- run:
	case <-ctx.Done():
	}
}

// trySubmit queues a command for the control goroutine, or drops it if the queue is full.
func (l *Loop) trySubmit(run command) {
	select {
	case l.commands <- run:
	default:
	}
}

// newView returns an immutable view of the state.
func (s *state) newView() *View {
	now := s.options.Clock.Now()
	return &View{
		routes:      s.routes.Table(),
		document:    s.document,
		registry:    s.registry.View(),
		upstreams:   s.upstreams,
		usable:      s.usable,
		workingSet:  s.workingSet.View(),
		position:    s.position,
		confirmedAt: s.confirmedAt,

		configConfirmedAt: s.configConfirmedAt,

		refused:      s.refusedConfig,
		configBehind: s.configBehind(now),
		settled:      s.isSettled(now),
		outageSeenAt: s.outageSeenAt,
		publishedAt:  now,
		stopPlan:     s.stopPlan,
	}
}

// tick does the periodic work. Idle instances do a part of it only on every
// idleTicksPerUpdate-th tick.
func (s *state) tick() {
	now := s.options.Clock.Now()
	s.recordResume(now)
	s.activeAt = now
	for _, id := range s.registry.Expire(now, s.position) {
		s.options.Events.ServerRemoved(id, true)
	}
	s.applyServers()
	s.recordCopyAge(now)
	if s.lag.recordTick(now) {
		s.options.Events.MachineSlowChanged(s.lag.slow, s.lag.mean)
	}
	s.readLateConfig(now)
	s.updateReading(now)
	s.tickCount++
	defer s.updateLimiter(now)
	if s.workingSet.View().Role() == workset.Idle && s.loaded() && s.stopPlan == nil && s.tickCount%idleTicksPerUpdate != 0 {
		return
	}
	s.updateRequestRate(now)
	s.updateRole(now)
	s.reportServers(now)
	s.reportUnused(now)
}

// applyServers updates the pools with the listed servers.
func (s *state) applyServers() {
	if !s.registry.Publish() {
		return
	}
	view := s.registry.View()
	upstreams := make(map[fleet.ServiceName]*dispatch.Upstream, len(s.upstreams))
	usable := make(map[registry.Incarnation]fleet.ServiceName, view.ServerCount())
	for _, name := range view.Services() {
		u, known := s.upstreams[name]
		if !known {
			u = s.newUpstream(name)
		}
		upstreams[name] = u
		u.Servers.Update(view.Servers(name))
		for _, server := range view.Servers(name) {
			if server.Presence == fleet.Live {
				usable[server.Incarnation] = name
			}
		}
	}
	for name, u := range s.upstreams {
		if _, listed := upstreams[name]; !listed {
			u.Servers.Update(nil)
			upstreams[name] = u
		}
	}
	s.upstreams, s.usable = upstreams, usable
}

func (s *state) newUpstream(name fleet.ServiceName) *dispatch.Upstream {
	servers := balance.NewPool(balance.Options{
		Instance: s.options.Self.Member.ID,
		Domain:   s.options.Self.Domain,
		Floor:    s.options.Floor,
		Link:     s.options.Link,
		Random:   s.options.Random,
		Events:   s.options.Events,
	})
	servers.SetUnattended(s.unattended)
	servers.SetActive(s.activeInDomain)
	return &dispatch.Upstream{
		Name:         name,
		Servers:      servers,
		RepeatWindow: retry.NewWindow(s.localQuota()),
		Shares:       fairness.NewShares(quotaUses{s.options.Quotas}),
	}
}

// adoptRoutes activates a configuration if it is valid and newer than the active one.
func (s *state) adoptRoutes(document *route.Document) {
	if document == nil {
		return
	}
	adopted, err := s.routes.Adopt(*document)
	switch {
	case err != nil:
		s.refuseConfig(&follow.ConfigError{Version: document.Version, Reason: err})
	case adopted:
		s.document = document
		s.applyLimits(s.options.Clock.Now(), document)
		s.options.Events.ConfigAdopted(document.Version)
		if s.refusedConfig != nil && s.refusedConfig.Version <= document.Version {
			s.refusedConfig = nil
		}
	}
}

// refuseConfig records a configuration that cannot be used, and reports it once. One that
// is older than the active configuration does not matter.
func (s *state) refuseConfig(refused *follow.ConfigError) {
	if refused == nil || refused.Version != 0 && refused.Version <= s.routes.Version() {
		return
	}
	if last := s.refusedConfig; last != nil && last.Error() == refused.Error() {
		return
	}
	s.refusedConfig = refused
	s.options.Events.ConfigRefused(refused.Version, refused.Reason)
}

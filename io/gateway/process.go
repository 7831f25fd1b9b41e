package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	core "galenaridge/core/gateway"
	"galenaridge/core/quota"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
	"galenaridge/io/accept"
	"galenaridge/io/caller/pipeline"
	"galenaridge/io/decisionlog"
	"galenaridge/io/memory"
	"galenaridge/io/peer/datagram"
	"galenaridge/io/peer/snapshot"
	"galenaridge/io/setting"
	"galenaridge/io/upstream"
)

// Options configures a Process.
type Options struct {
	Settings setting.Gateway
	Adapter  Adapter
	Clock    clockwork.Clock
	// LogOutput receives the decision log and the operational log.
	LogOutput io.Writer
	LogLevel  logrus.Level
	// Release is the version of the program.
	Release string
	// Reload receives a value when the settings should be read again.
	Reload <-chan struct{}
	// Listen opens the TCP listeners; net.Listen if nil.
	Listen func(network, address string) (net.Listener, error)
}

// Process is one instance that runs on a platform.
type Process struct {
	options   Options
	clock     clock
	decisions *decisionlog.Writer
	log       *logrus.Logger
	metrics   *metrics.Set
	customers *customerMetrics
	// seeds are the seed addresses of the active settings. After New only
	// runMaintenance uses them.
	seeds        []fleet.Address
	incarnation  fleet.Incarnation
	startedAt    time.Time
	control      *core.Loop
	engine       *dispatch.Engine
	quotas       *quota.Limiter
	follower     *follow.Follower
	copyFetcher  *follow.CopyFetcher
	peerSocket   *datagram.Socket
	serverPool   *upstream.Pool
	callerServer *pipeline.Server
	// memory bounds what peers can make the process hold.
	memory      *memory.Budget
	descriptors descriptorLimits

	callerListener net.Listener
	httpServers    []httpServer
}

// New opens the listeners of an instance and assembles its parts. On an error all
// listeners are closed.
func New(options Options) (*Process, error) {
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	p := &Process{options: options, clock: clock{options.Clock}, metrics: metrics.NewSet()}
	p.customers = newCustomerMetrics(p.metrics)
	p.seeds = options.Settings.Seeds
	p.startedAt = p.clock.Now()
	p.decisions = decisionlog.NewWriter(options.LogOutput, p.clock, options.Settings.ID)
	p.log = newLog(p.decisions, options.LogLevel, options.Settings.ID)
	if err := p.assemble(); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

func newLog(writer *decisionlog.Writer, level logrus.Level, id fleet.InstanceID) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(writer.EncodedLines())
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.AddHook(instanceHook{id})
	return log
}

// instanceHook adds the id of the instance to each log line.
type instanceHook struct{ id fleet.InstanceID }

// Levels implements logrus.Hook.
func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h instanceHook) Fire(entry *logrus.Entry) error {
	entry.Data["instance"] = string(h.id)
	return nil
}

func (p *Process) assemble() error {
	s := p.options.Settings
	p.memory = newMemoryBudget(s, p.freeMemory)
	p.descriptors = newDescriptorLimits(s)
	socket, err := datagram.Listen(s.Listen.Peer, p.log)
	if err != nil {
		return err
	}
	p.peerSocket = socket
	p.callerListener, err = p.listen("callers", s.Listen.Caller)
	if err != nil {
		return err
	}
	p.incarnation, err = newIncarnation()
	if err != nil {
		return err
	}
	decisions := &decisionJournal{process: p, writer: p.decisions, requestMetrics: newRequestMetrics(p.metrics), fetchMetrics: newFetchMetrics(p.metrics), customers: p.customers}
	storeCalls := p.metrics.NewCounter("galenaridge_store_calls_total")
	p.follower = follow.New(follow.Options{
		Store: p.options.Adapter.NewStore(s.StoreAddress, p.options.Clock, p.log, storeCalls),
		Sink:  followerSink{p},
		Clock: p.clock,
	})
	p.copyFetcher = follow.NewCopyFetcher(follow.CopyFetcherOptions{
		Peers:  snapshot.NewClient(),
		Sink:   followerSink{p},
		Copy:   localCopy{p},
		Clock:  p.clock,
		Random: processRandom{},
	})
	p.serverPool = upstream.NewPool(upstream.PoolOptions{
		Clock:       p.clock,
		HeaderCodec: p.options.Adapter.ServerHeaderCodec(),
		Domain:      s.Domain,
		Memory:      p.memory,
		MaxConns:    p.descriptors.servers,
	})
	p.quotas = quota.New(quota.Options{
		Self:   fleet.Member{ID: s.ID, Incarnation: p.incarnation},
		Bounds: s.Bounds.Quota,
		Start:  p.startedAt,
	})
	p.engine = dispatch.New(dispatch.Options{
		ControlState: controlState{p},
		Sender:       p.serverPool,
		Clock:        p.clock,
		Journal:      decisions,
		Quotas:       p.quotas,
		Revocation:   dispatch.Revocation{FailClosed: s.Bounds.RevokeFailClosed, MaxAge: s.Bounds.RevokeAge},
	})
	p.control = core.New(core.Options{
		Self: workset.Heartbeat{
			Member:        fleet.Member{ID: s.ID, Incarnation: p.incarnation},
			Domain:        s.Domain,
			PeerAddress:   s.Listen.Peer,
			CallerAddress: s.Listen.Caller,
			Cores:         workset.EffectiveCores(s.Capacity.Cores, s.Capacity.LinkMbps),
		},
		Seeds:         s.Seeds,
		FirstStart:    s.FirstStart,
		Clock:         p.clock,
		Peers:         p.peerSocket,
		StoreFollower: p.follower,
		CopyFetcher:   p.copyFetcher,
		Traffic:       p.engine,
		Random:        processRandom{},
		Events:        decisions,
		Quota: retry.Quota{
			Ratio:     s.Bounds.RetryRatio,
			Allowance: s.Bounds.RetryAllowance,
			Span:      s.Bounds.RetryWindow,
		},
		SettleTime: s.Bounds.SettleTime,
		Floor:      s.Bounds.Floor,
		Quotas:     p.quotas,
		Link:       fleet.Mbps(s.Capacity.LinkMbps),
	})
	p.callerServer = pipeline.New(pipeline.Options{
		Clock:        p.clock,
		Handler:      p.engine,
		HeaderParser: p.options.Adapter.CallerHeaderParser(),
		Policy:       callerPolicy{p},
		Log:          p.log,
		Memory:       p.memory,
		MaxConns:     p.descriptors.callers,
		MinRate:      s.Peers.MinRate,
	})
	p.registerGauges()
	return p.openHTTPServers()
}

func (p *Process) listen(name string, address fleet.Address) (net.Listener, error) {
	listener, err := p.options.Listen("tcp4", string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen for %s on %s", name, address)
	}
	return accept.New(listener, accept.Options{Name: name, Log: p.log, OnFailure: p.freeDescriptors}), nil
}

func newIncarnation() (fleet.Incarnation, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, eris.Wrap(err, "cannot generate an incarnation")
	}
	return fleet.Incarnation(binary.LittleEndian.Uint64(random[:])), nil
}

func (p *Process) closeListeners() {
	if p.peerSocket != nil {
		_ = p.peerSocket.Close()
	}
	if p.callerListener != nil {
		_ = p.callerListener.Close()
	}
	for _, server := range p.httpServers {
		_ = server.listener.Close()
	}
}

// Run serves until the context ends, and then makes a planned stop. It returns an
// error if one of the servers ends before that.
func (p *Process) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	failures := make(chan error, 8)
	serve := func(name string, run func() error) {
		wg.Go(func() {
			if err := run(); err != nil {
				failures <- eris.Wrapf(err, "%s ended", name)
			}
		})
	}
	wg.Go(func() { p.decisions.Run(running) })
	wg.Go(func() { p.control.Run(running) })
	wg.Go(func() { p.follower.Run(running) })
	wg.Go(func() { p.copyFetcher.Run(running) })
	wg.Go(func() { p.runMaintenance(running) })
	serve("datagrams", func() error { return p.peerSocket.Run(running, p.control) })
	serve("caller server", func() error { return p.callerServer.Serve(p.callerListener) })
	for _, server := range p.httpServers {
		serve(server.name+" server", func() error { return server.server.Serve(server.listener) })
	}
	p.decisions.Write(decisionlog.Line{Event: decisionlog.Started, State: p.options.Release})
	var failure error
	select {
	case <-ctx.Done():
		p.stop(running)
	case failure = <-failures:
		p.log.WithError(failure).Error("a server of the instance ended unexpectedly; shutting down")
	}
	p.decisions.Write(decisionlog.Line{Event: decisionlog.Stopped})
	p.shutdown()
	cancel()
	wg.Wait()
	return failure
}

const (
	// maintenanceInterval is the time between two rounds of closing old connections to
	// servers and reporting dropped log lines.
	maintenanceInterval = time.Second
	// settingsPollInterval is the time between two checks for changed settings, since
	// not every change is announced by a signal.
	settingsPollInterval = 5 * time.Second
)

// runMaintenance closes old connections, reports dropped log lines and reads changed
// settings until the context ends.
func (p *Process) runMaintenance(ctx context.Context) {
	maintenanceTicker := p.clock.Clock.NewTicker(maintenanceInterval)
	defer maintenanceTicker.Stop()
	settingsTicker := p.clock.Clock.NewTicker(settingsPollInterval)
	defer settingsTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Reload:
			p.reloadSettings()
		case <-settingsTicker.Chan():
			p.reloadIfChanged()
		case <-maintenanceTicker.Chan():
			p.serverPool.PruneIdle(func(i registry.Incarnation) bool { return p.control.View().IsListedLive(i) })
			if p.control.View().WorkingSet().LivePeerCount() == 0 {
				// The seeds may be lost. The instance admits next to nothing until it finds others.
				p.reloadIfChanged()
			}
			if dropped := p.decisions.TakeDropped(); dropped > 0 {
				p.decisions.Write(decisionlog.Line{Event: decisionlog.LinesDropped, Count: dropped})
			}
		}
	}
}

// reloadSettings reads the settings again and applies their seeds. Unreadable
// settings are logged and change nothing.
func (p *Process) reloadSettings() {
	settings, err := p.options.Adapter.LoadSettings()
	if err != nil {
		p.log.WithError(err).Error("failed to load the changed settings; the previous settings stay in force")
		return
	}
	p.seeds = settings.Seeds
	p.control.AddContacts(settings.Seeds)
	p.decisions.Write(decisionlog.Line{Event: decisionlog.SettingsReloaded, Count: int64(len(settings.Seeds))})
}

// reloadIfChanged calls reloadSettings if the seeds in the settings differ from
// the active ones, or if the settings cannot be read.
func (p *Process) reloadIfChanged() {
	settings, err := p.options.Adapter.LoadSettings()
	if err == nil && slices.Equal(settings.Seeds, p.seeds) {
		return
	}
	p.reloadSettings()
}

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
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
	"galenaridge/io/caller/pipeline"
	"galenaridge/io/decisionlog"
	"galenaridge/io/peer/datagram"
	"galenaridge/io/peer/snapshot"
	"galenaridge/io/setting"
	"galenaridge/io/upstream"
)

// Options configure a Process.
type Options struct {
	Settings setting.Gateway
	Adapter  Adapter
	Clock    clockwork.Clock
	// LogOutput takes the log lines.
	LogOutput io.Writer
	LogLevel  logrus.Level
	Release   string
	// Reload delivers when the settings should be read again.
	Reload <-chan struct{}
}

// Process is one instance on a platform.
type Process struct {
	options Options
	clock   clock
	lines   *decisionlog.Writer
	log     *logrus.Logger
	metrics *metrics.Set
	// seeds are those of the settings in force. Only upkeep uses them.
	seeds    []fleet.Address
	control  *core.Loop
	engine   *dispatch.Engine
	follower *follow.Follower
	copier   *follow.CopyFetcher
	link     *datagram.Socket
	servers  *upstream.Pool
	callers  *pipeline.Server

	callerListener net.Listener
	webs           []web
}

// New opens the listeners of an instance and assembles its parts.
func New(options Options) (*Process, error) {
	p := &Process{options: options, clock: clock{options.Clock}, metrics: metrics.NewSet()}
	p.seeds = options.Settings.Seeds
	p.lines = decisionlog.NewWriter(options.LogOutput, p.clock, options.Settings.ID)
	p.log = newLog(p.lines, options.LogLevel, options.Settings.ID)
	if err := p.assemble(); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

func newLog(lines *decisionlog.Writer, level logrus.Level, id fleet.InstanceID) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(lines.EncodedLines())
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.AddHook(instanceHook{id})
	return log
}

// instanceHook adds the instance to each line.
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
	link, err := datagram.Listen(s.Listen.Peer, p.log)
	if err != nil {
		return err
	}
	p.link = link
	p.callerListener, err = listen("callers", s.Listen.Caller)
	if err != nil {
		return err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	book := &journal{process: p, lines: p.lines, series: newSeries(p.metrics)}
	calls := p.metrics.NewCounter("galenaridge_store_calls_total")
	p.follower = follow.New(follow.Options{
		Store: p.options.Adapter.NewStore(s.StoreAddress, p.clock, p.log, calls),
		Sink:  sink{p},
		Clock: p.clock,
	})
	p.copier = follow.NewCopyFetcher(follow.CopyFetcherOptions{Peers: snapshot.NewClient(), Sink: sink{p}, Clock: p.clock})
	p.servers = upstream.NewPool(upstream.PoolOptions{
		Clock:       p.clock,
		HeaderCodec: p.options.Adapter.ServerDialect(),
		Domain:      s.Domain,
	})
	p.engine = dispatch.New(dispatch.Options{ControlState: sites{p}, Sender: p.servers, Clock: p.clock, Journal: book})
	p.control = core.New(core.Options{
		Self: workset.Heartbeat{
			Member:        fleet.Member{ID: s.ID, Incarnation: incarnation},
			Domain:        s.Domain,
			PeerAddress:   s.Listen.Peer,
			CallerAddress: s.Listen.Caller,
			Cores:         workset.EffectiveCores(s.Capacity.Cores, s.Capacity.LinkMbps),
		},
		Seeds:         s.Seeds,
		FirstStart:    s.FirstStart,
		Clock:         p.clock,
		Peers:         p.link,
		StoreFollower: p.follower,
		CopyFetcher:   p.copier,
		Traffic:       p.engine,
		Random:        globalRandom{},
		Events:        book,
		Quota: retry.Quota{
			Ratio:     s.Bounds.RetryRatio,
			Allowance: s.Bounds.RetryAllowance,
			Span:      s.Bounds.RetryWindow,
		},
	})
	p.callers = pipeline.New(pipeline.Options{
		Clock:        p.clock,
		Handler:      p.engine,
		HeaderParser: p.options.Adapter.CallerDialect(),
		Policy:       policy{p},
		Log:          p.log,
	})
	p.register()
	return p.openWebs()
}

func listen(name string, address fleet.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp4", string(address))
	return listener, eris.Wrapf(err, "cannot listen for %s on %s", name, address)
}

func newIncarnation() (fleet.Incarnation, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, eris.Wrap(err, "cannot draw an incarnation")
	}
	return fleet.Incarnation(binary.LittleEndian.Uint64(random[:])), nil
}

func (p *Process) closeListeners() {
	if p.link != nil {
		_ = p.link.Close()
	}
	if p.callerListener != nil {
		_ = p.callerListener.Close()
	}
	for _, w := range p.webs {
		_ = w.listener.Close()
	}
}

// Run serves until the context ends, and then makes a planned stop.
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
	wg.Go(func() { p.lines.Run(running) })
	wg.Go(func() { p.control.Run(running) })
	wg.Go(func() { p.follower.Run(running) })
	wg.Go(func() { p.copier.Run(running) })
	wg.Go(func() { p.upkeep(running) })
	serve("datagrams", func() error { return p.link.Run(running, p.control) })
	serve("caller server", func() error { return p.callers.Serve(p.callerListener) })
	for _, w := range p.webs {
		serve(w.name+" server", func() error { return w.server.Serve(w.listener) })
	}
	p.lines.Write(decisionlog.Line{Event: decisionlog.Started, State: p.options.Release})
	var failure error
	select {
	case <-ctx.Done():
		p.stop(running)
	case failure = <-failures:
		p.log.WithError(failure).Error("the instance ends, since a part of it has ended")
	}
	p.lines.Write(decisionlog.Line{Event: decisionlog.Stopped})
	p.shutdown()
	cancel()
	wg.Wait()
	return failure
}

const (
	// sweepEvery is the interval of closing old connections to servers.
	sweepEvery = time.Second
	// reloadEvery is the interval of looking for changed settings, which come
	// with or without a signal.
	reloadEvery = 5 * time.Second
)

// upkeep closes old connections and reads changed settings.
func (p *Process) upkeep(ctx context.Context) {
	sweep := p.clock.Clock.NewTicker(sweepEvery)
	defer sweep.Stop()
	reread := p.clock.Clock.NewTicker(reloadEvery)
	defer reread.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Reload:
			p.reload()
		case <-reread.Chan():
			p.reread()
		case <-sweep.Chan():
			p.servers.PruneIdle(func(i registry.Incarnation) bool { return p.control.View().IsListedLive(i) })
			if dropped := p.lines.TakeDropped(); dropped > 0 {
				p.lines.Write(decisionlog.Line{Event: decisionlog.LinesDropped, Count: dropped})
			}
		}
	}
}

// reload reads the settings again after a signal. What cannot be read changes
// nothing.
func (p *Process) reload() {
	settings, err := p.options.Adapter.LoadSettings()
	if err != nil {
		p.log.WithError(err).Error("the changed settings are refused; those before stay in force")
		return
	}
	p.seeds = settings.Seeds
	p.control.AddContacts(settings.Seeds)
	p.lines.Write(decisionlog.Line{Event: decisionlog.SettingsReloaded, Count: int64(len(settings.Seeds))})
}

// reread looks for settings that changed without a signal.
func (p *Process) reread() {
	settings, err := p.options.Adapter.LoadSettings()
	if err == nil && slices.Equal(settings.Seeds, p.seeds) {
		return
	}
	p.reload()
}

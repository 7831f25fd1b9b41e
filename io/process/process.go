package process

import (
	"context"
	"crypto/rand"
	randv2 "math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"galenaridge/core/control"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/traffic"
	"galenaridge/io/caller"
	"galenaridge/io/operator"
	"galenaridge/io/peer"
	"galenaridge/io/platform"
	"galenaridge/io/setting"
	"galenaridge/io/upstream"
)

// Options configure a Process.
type Options struct {
	Settings setting.Settings
	Clock    clockwork.Clock
	Log      *logrus.Logger
	Release  string
}

// Process is one instance.
type Process struct {
	options  Options
	started  time.Time
	control  *control.Loop
	engine   *traffic.Engine
	servers  *upstream.Client
	peers    *peer.Client
	meter    *peer.Meter
	answers  *peer.Server
	callers  *caller.Server
	operator *operator.Server
	watchers watchers
	metrics  *metrics.Set

	callerListener, peerListener, operatorListener net.Listener
}

// New opens the listeners of an instance and assembles its parts.
func New(options Options) (*Process, error) {
	p := &Process{options: options, started: options.Clock.Now(), metrics: metrics.NewSet(), meter: &peer.Meter{}}
	if err := p.listen(); err != nil {
		p.closeListeners()
		return nil, err
	}
	if err := p.assemble(); err != nil {
		p.closeListeners()
		return nil, err
	}
	return p, nil
}

func (p *Process) listen() error {
	listen := p.options.Settings.Listen
	for _, l := range []struct {
		name     string
		address  fleet.Address
		listener *net.Listener
	}{
		{"callers", listen.Caller, &p.callerListener},
		{"peers", listen.Peer, &p.peerListener},
		{"operators", listen.Operator, &p.operatorListener},
	} {
		opened, err := net.Listen("tcp", string(l.address))
		if err != nil {
			return eris.Wrapf(err, "cannot listen for %s on %s", l.name, l.address)
		}
		*l.listener = opened
	}
	return nil
}

func (p *Process) closeListeners() {
	for _, l := range []net.Listener{p.callerListener, p.peerListener, p.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (p *Process) assemble() error {
	s := p.options.Settings
	p.servers = upstream.New(upstream.Options{Clock: p.options.Clock, DialAddresses: s.Via})
	p.peers = peer.NewClient(peer.ClientOptions{Clock: p.options.Clock, Via: s.Via, Meter: p.meter})
	prober := &prober{client: p.servers}
	if err := p.watch(s.Platform); err != nil {
		return err
	}
	p.control = control.New(control.Options{
		Member: member.Options{
			ID:            s.ID,
			Domain:        s.Domain,
			PeerAddress:   advertised(s.Advertise.Peer, p.peerListener),
			CallerAddress: advertised(s.Advertise.Caller, p.callerListener),
			Seeds:         s.Seeds,
			Random:        globalRandom{},
		},
		Clock:           tickingClock{p.options.Clock},
		Peers:           p.peers,
		Prober:          prober,
		PlatformWatcher: p.watchers,
		Events:          &events{process: p, log: p.options.Log},
	})
	engine, err := traffic.New(traffic.Options{
		Control:       p.control,
		DrainListener: p.control,
		Sender:        sender{client: p.servers},
		Peers:         p.peers,
		Clock:         p.options.Clock,
		Random:        globalRandom{},
		SecretSource:  rand.Reader,
		RecordLimits:  traffic.RecordLimits{MaxRecords: s.Limits.Records, MaxBodyBytes: s.Limits.Stored, MaxMemoryBytes: s.Limits.Memory},
	}, p.control.View().Members.Self().Member)
	if err != nil {
		return eris.Wrap(err, "cannot start the at-most-once records")
	}
	p.engine = engine
	p.answers = peer.NewServer(peer.ServerOptions{
		Control:       p.control,
		Traffic:       engine,
		Prober:        prober,
		Clock:         p.options.Clock,
		PanicReporter: faults{log: p.options.Log},
	})
	front := frontEnd{control: p.control, engine: engine}
	p.callers = caller.New(caller.Options{
		Clock:    p.options.Clock,
		Handler:  front,
		Assigner: front,
		Policy:   front,
		Stopping: engine,
		Log:      p.options.Log,
		Metrics:  p.metrics,
	})
	p.register()
	p.operator = operator.New(operator.Options{
		Health:      p,
		StateSource: p,
		Metrics:     []*metrics.Set{p.metrics},
	})
	return nil
}

func advertised(address fleet.Address, listener net.Listener) fleet.Address {
	if address != "" {
		return address
	}
	return fleet.Address(listener.Addr().String())
}

// watch prepares a watcher for each address of the platform.
func (p *Process) watch(bases []string) error {
	for _, base := range bases {
		w, err := platform.NewWatcher(platform.Options{
			BaseURL: base,
			Clock:   p.options.Clock,
			Log:     p.options.Log,
			Random:  globalRandom{},
		}, &sink{process: p})
		if err != nil {
			return eris.Wrapf(err, "cannot watch the platform at %s", base)
		}
		p.watchers = append(p.watchers, w)
	}
	return nil
}

// sweepEvery is how often expired at-most-once records are dropped.
const (
	sweepEvery = time.Second
	sweepLimit = 10_000
)

// Run serves until the context ends, and then makes a planned stop.
func (p *Process) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	failures := make(chan error, 4)
	serve := func(name string, run func() error) {
		wg.Go(func() {
			if err := run(); err != nil {
				failures <- eris.Wrapf(err, "%s ended", name)
			}
		})
	}
	// Without its control goroutine an instance serves nothing, so its end is
	// that of the process.
	serve("control", func() error {
		return panics.Try(func() { p.control.Run(running) }).AsError()
	})
	for _, w := range p.watchers {
		wg.Go(func() { w.Run(running) })
	}
	serve("operator server", func() error { return p.operator.Serve(p.operatorListener) })
	serve("peer server", func() error { return p.answers.Serve(p.peerListener) })
	serve("caller server", func() error { return p.callers.Serve(p.callerListener) })
	wg.Go(func() { p.upkeep(running) })
	p.options.Log.WithFields(logrus.Fields{
		"id":       p.options.Settings.ID,
		"domain":   p.options.Settings.Domain,
		"callers":  p.callerListener.Addr().String(),
		"peers":    p.peerListener.Addr().String(),
		"operator": p.operatorListener.Addr().String(),
	}).Info("instance started")
	var failure error
	select {
	case <-ctx.Done():
		p.stop()
	case failure = <-failures:
	}
	p.shutdown()
	cancel()
	wg.Wait()
	p.options.Log.Info("instance stopped")
	return failure
}

// upkeep drops expired records and tells the fleet that the platform can be
// read.
func (p *Process) upkeep(ctx context.Context) {
	ticker := p.options.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.engine.Sweep(sweepLimit)
			if p.control.View().WatchingPlatform && p.watchers.reading() {
				_ = p.control.RecordPlatformRead(ctx)
			}
		}
	}
}

// Live implements operator.Health.
func (p *Process) Live() bool { return true }

// Ready implements operator.Health.
func (p *Process) Ready() bool { return p.control.View().Ready(p.options.Clock.Now()) }

// Draining implements operator.Health.
func (p *Process) Draining() bool { return p.engine.Stopping() }

// globalRandom is the process-wide random source, which may be used
// concurrently.
type globalRandom struct{}

func (globalRandom) Uint64() uint64   { return randv2.Uint64() }
func (globalRandom) IntN(n int) int   { return randv2.IntN(n) }
func (globalRandom) Float64() float64 { return randv2.Float64() }

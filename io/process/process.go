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
	"galenaridge/core/customer"
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

// Options configures a Process.
type Options struct {
	Settings setting.Settings
	// Customers are the customers of the settings with the hashes of their keys.
	Customers []customer.Customer
	Clock     clockwork.Clock
	Log       *logrus.Logger
	// Release is the version of this program, as reported to operators.
	Release string
}

// Process is one instance.
type Process struct {
	options        Options
	started        time.Time
	control        *control.Loop
	engine         *traffic.Engine
	upstreamClient *upstream.Client
	peerClient     *peer.Client
	controlMeter   *peer.Meter
	peerServer     *peer.Server
	callerServer   *caller.Server
	keys           *caller.Keys
	operatorServer *operator.Server
	watchers       watchers
	metrics        *metrics.Set

	callerListener, peerListener, operatorListener net.Listener
}

// New opens the listeners of an instance and assembles its parts.
func New(options Options) (*Process, error) {
	p := &Process{options: options, started: options.Clock.Now(), metrics: metrics.NewSet(), controlMeter: &peer.Meter{}}
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

// listen opens the listeners for callers, peers and operators.
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

// assemble creates the parts of the instance and connects them.
func (p *Process) assemble() error {
	s := p.options.Settings
	p.upstreamClient = upstream.New(upstream.Options{Clock: p.options.Clock, DialAddresses: s.Via})
	p.peerClient = peer.NewClient(peer.ClientOptions{Clock: p.options.Clock, DialAddresses: s.Via, Meter: p.controlMeter})
	prober := &prober{client: p.upstreamClient}
	if err := p.addWatchers(s.Platform); err != nil {
		return err
	}
	p.control = control.New(control.Options{
		Member: member.Options{
			ID:            s.ID,
			Domain:        s.Domain,
			PeerAddress:   advertisedAddress(s.Advertise.Peer, p.peerListener),
			CallerAddress: advertisedAddress(s.Advertise.Caller, p.callerListener),
			Seeds:         s.Seeds,
			Random:        globalRandom{},
		},
		Clock:           tickingClock{p.options.Clock},
		Peers:           p.peerClient,
		Prober:          prober,
		PlatformWatcher: p.watchers,
		Events:          &eventLogger{process: p, log: p.options.Log},
	})
	engine, err := traffic.New(traffic.Options{
		Control:       p.control,
		DrainListener: p.control,
		Sender:        sender{client: p.upstreamClient},
		Peers:         p.peerClient,
		Clock:         p.options.Clock,
		Random:        globalRandom{},
		SecretSource:  rand.Reader,
		RecordLimits:  traffic.RecordLimits{MaxRecords: s.Limits.Records, MaxBodyBytes: s.Limits.Stored, MaxMemoryBytes: s.Limits.Memory},
	}, p.control.View().Members.Self().Member)
	if err != nil {
		return eris.Wrap(err, "cannot start the at-most-once records")
	}
	p.engine = engine
	p.peerServer = peer.NewServer(peer.ServerOptions{
		Control:       p.control,
		Traffic:       engine,
		Prober:        prober,
		Clock:         p.options.Clock,
		PanicReporter: panicLogger{log: p.options.Log},
	})
	p.keys = caller.NewKeys(p.options.Customers)
	front := frontEnd{control: p.control, engine: engine}
	p.callerServer = caller.New(caller.Options{
		Clock:    p.options.Clock,
		Handler:  front,
		Assigner: front,
		Policy:   front,
		Stopping: engine,
		Keys:     p.keys,
		Log:      p.options.Log,
		Metrics:  p.metrics,
	})
	p.registerMetrics()
	p.operatorServer = operator.New(operator.Options{
		Health:      p,
		StateSource: p,
		Metrics:     []*metrics.Set{p.metrics},
	})
	return nil
}

// advertisedAddress returns the configured address, or the address of the listener
// if none is configured.
func advertisedAddress(address fleet.Address, listener net.Listener) fleet.Address {
	if address != "" {
		return address
	}
	return fleet.Address(listener.Addr().String())
}

// addWatchers creates a watcher for each address of the platform.
func (p *Process) addWatchers(baseURLs []string) error {
	for _, baseURL := range baseURLs {
		w, err := platform.NewWatcher(platform.Options{
			BaseURL: baseURL,
			Clock:   p.options.Clock,
			Log:     p.options.Log,
			Random:  globalRandom{},
		}, &platformSink{process: p})
		if err != nil {
			return eris.Wrapf(err, "cannot watch the platform at %s", baseURL)
		}
		p.watchers = append(p.watchers, w)
	}
	return nil
}

const (
	// maintenanceInterval is the time between two rounds of maintain.
	maintenanceInterval = time.Second
	// pruneLimit is the largest number of expired records that one round removes
	// from the ledger and from each archive.
	pruneLimit = 10_000
)

// Run serves until the context ends and then performs a planned stop. It returns
// an error if a server or the control goroutine fails before that.
func (p *Process) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	failures := make(chan error, 4)
	serve := func(name string, run func() error) {
		wg.Go(func() {
			if err := run(); err != nil {
				failures <- eris.Wrapf(err, "%s ended", name)
			}
		})
	}
	// An instance without a control goroutine cannot serve, so a panic in that
	// goroutine ends the process.
	serve("control", func() error {
		return panics.Try(func() { p.control.Run(runCtx) }).AsError()
	})
	for _, w := range p.watchers {
		wg.Go(func() { w.Run(runCtx) })
	}
	serve("operator server", func() error { return p.operatorServer.Serve(p.operatorListener) })
	serve("peer server", func() error { return p.peerServer.Serve(p.peerListener) })
	serve("caller server", func() error { return p.callerServer.Serve(p.callerListener) })
	wg.Go(func() { p.maintain(runCtx) })
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

// maintain regularly removes expired at-most-once records and notes successful reads of the
// platform, whose age is gossiped to the other instances.
func (p *Process) maintain(ctx context.Context) {
	ticker := p.options.Clock.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.engine.Sweep(pruneLimit)
			if p.control.View().WatchingPlatform && p.watchers.recentlyRead() {
				_ = p.control.RecordPlatformRead(ctx)
			}
		}
	}
}

// Live implements operator.Health. It is true as long as the process can reply.
func (p *Process) Live() bool { return true }

// Ready implements operator.Health.
func (p *Process) Ready() bool { return p.control.View().Ready(p.options.Clock.Now()) }

// Draining implements operator.Health.
func (p *Process) Draining() bool { return p.engine.Stopping() }

// globalRandom uses the process-wide random source. It is safe for concurrent use.
type globalRandom struct{}

func (globalRandom) Uint64() uint64   { return randv2.Uint64() }
func (globalRandom) IntN(n int) int   { return randv2.IntN(n) }
func (globalRandom) Float64() float64 { return randv2.Float64() }

package process

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"galenaridge/core/attempt"
	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/traffic"
	"galenaridge/io/caller"
	"galenaridge/io/document"
	"galenaridge/io/platform"
	"galenaridge/io/upstream"
)

// tickingClock adapts a clock to control.Clock.
type tickingClock struct{ clockwork.Clock }

// NewTicker implements control.Clock.
func (c tickingClock) NewTicker(period time.Duration) (<-chan time.Time, func()) {
	ticker := c.Clock.NewTicker(period)
	return ticker.Chan(), ticker.Stop
}

// sender adapts the upstream client to traffic.Sender.
type sender struct{ client *upstream.Client }

// permission adapts a function to upstream.Permission.
type permission func() bool

// MayWrite implements upstream.Permission.
func (p permission) MayWrite() bool { return p() }

// Send implements traffic.Sender.
func (s sender) Send(ctx context.Context, a traffic.Attempt) (exchange.Response, attempt.Evidence) {
	response, evidence := s.client.Do(ctx, upstream.Attempt{
		Server:     a.Server,
		Slot:       a.Slot,
		Request:    a.Request,
		Permission: permission(a.MayWrite),
		Deadline:   a.Deadline,
	})
	return response, attempt.Evidence{
		Written:  evidence.Progress != upstream.Unwritten,
		Complete: evidence.Progress == upstream.Complete,
		Refused:  evidence.Refused,
		TimedOut: upstream.IsFault(evidence.Err, upstream.TimedOut),
		Canceled: upstream.IsFault(evidence.Err, upstream.Canceled),
		Draining: evidence.Draining,
	}
}

// prober adapts the upstream client to control.Prober.
type prober struct{ client *upstream.Client }

// Reachable implements control.Prober.
func (p *prober) Reachable(ctx context.Context, server fleet.ListedServer) bool {
	_, err := p.client.Probe(ctx, server)
	return err == nil
}

// CloseConnections implements control.Prober.
func (p *prober) CloseConnections(server fleet.ServerID) { p.client.CloseConnections(server) }

// CloseIdleConnections implements control.Prober.
func (p *prober) CloseIdleConnections() { p.client.CloseIdleConnections() }

// frontEnd adapts the traffic engine and the control loop to the interfaces of
// the caller server.
type frontEnd struct {
	control *control.Loop
	engine  *traffic.Engine
}

// Serve implements caller.Handler.
func (f frontEnd) Serve(ctx context.Context, request exchange.Request, token string) caller.Result {
	result := f.engine.Serve(ctx, request, once.Token(token))
	return caller.Result{Response: result.Response, Token: string(result.Token), Key: result.Key}
}

// assignTimeout limits the time to compute an assignment for a caller.
const assignTimeout = time.Second

// Assign implements caller.Assigner.
func (f frontEnd) Assign(service fleet.ServiceName, domain fleet.Domain) (caller.Assignment, error) {
	ctx, cancel := context.WithTimeout(context.Background(), assignTimeout)
	defer cancel()
	assignment, refusal := f.engine.Assign(ctx, service, domain)
	if refusal.Refused() {
		return caller.Assignment{}, &caller.Refusal{Response: refusal}
	}
	endpoints := make([]caller.Endpoint, 0, len(assignment.Endpoints))
	for _, endpoint := range assignment.Endpoints {
		endpoints = append(endpoints, caller.Endpoint{Address: endpoint.Address, Domain: endpoint.Domain})
	}
	return caller.Assignment{
		Service:   assignment.Service,
		Version:   assignment.Version,
		Endpoints: endpoints,
		TTL:       assignment.TTL,
		Token:     string(assignment.Token),
		TokenTTL:  assignment.TokenTTL,
	}, nil
}

// Ready implements caller.Policy.
func (f frontEnd) Ready() bool { return f.control.View().Config.Ready() }

// MaxDeadline implements caller.Policy.
func (f frontEnd) MaxDeadline(service fleet.ServiceName) (time.Duration, bool) {
	configured, known := f.control.View().Config.Service(service)
	return configured.Deadline, known
}

// Class implements caller.Policy.
func (f frontEnd) Class(customer fleet.Customer) (fleet.Class, bool) {
	found := f.control.View().Config.Customer(customer)
	return found.Class, found.Name == customer
}

// Limits implements caller.Policy.
func (f frontEnd) Limits() config.Limits { return f.control.View().Config.Document().Limits }

// watchers holds a watcher for each address of the platform.
type watchers []*platform.Watcher

// SetEnabled implements control.PlatformWatcher.
func (w watchers) SetEnabled(enabled bool) {
	for _, watcher := range w {
		watcher.SetEnabled(enabled)
	}
}

// recentlyRead reports whether at least one address of the platform was read
// recently.
func (w watchers) recentlyRead() bool {
	for _, watcher := range w {
		if watcher.RecentlyRead() {
			return true
		}
	}
	return false
}

// platformSink passes the values that the watchers read to the control loop.
type platformSink struct{ process *Process }

// HandleConfig implements platform.Sink. If the configuration cannot be decoded,
// the current one stays active.
func (s *platformSink) HandleConfig(raw platform.RawConfig) {
	decoded, err := document.DecodeConfig("configuration of the platform", raw.YAML)
	if err != nil {
		s.process.options.Log.WithError(err).WithField("revision", raw.Revision).
			Error("configuration refused; the one in force stays")
		return
	}
	// The call waits until the control goroutine accepts the configuration or ends:
	// the watcher does not deliver a configuration twice, so a dropped one would be
	// lost.
	_, _ = s.process.control.OfferConfig(context.Background(), decoded)
}

// HandleListing implements platform.Sink.
func (s *platformSink) HandleListing(listing fleet.Listing) {
	_ = s.process.control.OfferListing(context.Background(), listing)
}

// panicLogger logs panics of message handlers.
type panicLogger struct{ log *logrus.Logger }

// ReportPanic implements peer.PanicReporter.
func (l panicLogger) ReportPanic(method string, value any, stack []byte) {
	l.log.WithFields(logrus.Fields{"method": method, "panic": value, "stack": string(stack)}).
		Error("handler of a message panicked")
}

// eventLogger logs the events of the control state. It also restarts the
// at-most-once records after a rejoin.
type eventLogger struct {
	process *Process
	log     *logrus.Logger
}

// MemberEvent implements control.Events.
func (e *eventLogger) MemberEvent(event member.Event) {
	switch event.Kind {
	case member.EventConfigNewer:
		return
	case member.EventConfigConflict:
		e.log.WithField("peer", event.Member.String()).Error("peer has another configuration of the same version")
	default:
		e.log.WithField("peer", event.Member.String()).Info("member " + event.Kind.String())
	}
}

// Rejoined implements control.Events.
func (e *eventLogger) Rejoined(self fleet.Member) {
	e.log.WithField("incarnation", self.String()).Warn("lease lost for good; joined again as a new incarnation")
	if err := e.process.engine.Rejoin(self); err != nil {
		e.log.WithError(err).Error("cannot start the at-most-once records of the new incarnation")
	}
}

// ConditionChanged implements control.Events.
func (e *eventLogger) ConditionChanged(change control.ConditionChange) {
	e.log.WithFields(logrus.Fields{
		"service": change.Service,
		"server":  change.After.Server,
		"before":  change.Before.String(),
		"after":   change.After.Condition.String(),
		"reason":  change.After.Reason.String(),
	}).Info("server condition changed")
}

// ConfigOffered implements control.Events.
func (e *eventLogger) ConfigOffered(decision config.Decision, version fleet.Version) {
	entry := e.log.WithField("version", version)
	switch decision.Verdict {
	case config.Adopted:
		entry.Info("configuration in force")
	case config.Invalid, config.Conflict:
		entry.WithError(decision.Reason).Error("configuration refused; the one in force stays")
	case config.Older:
		entry.Warn("older configuration ignored")
	default:
	}
}

// OwnershipChanged implements control.Events.
func (e *eventLogger) OwnershipChanged(acquired, stopped, lost []fleet.Resource) {
	e.log.WithFields(logrus.Fields{
		"acquired": acquired,
		"stopped":  stopped,
		"lost":     lost,
	}).Info("ownership changed")
}

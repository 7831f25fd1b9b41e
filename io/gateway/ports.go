package gateway

import (
	"context"
	randv2 "math/rand/v2"
	"time"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/io/caller/pipeline"
)

// controlState reads the latest published view of the control loop on behalf of
// the dispatch engine.
type controlState struct{ process *Process }

// Routes implements dispatch.ControlState.
func (s controlState) Routes() *route.Table { return s.process.control.View().Routes() }

// ConfigBehind implements dispatch.ControlState.
func (s controlState) ConfigBehind() bool {
	return s.process.control.View().ConfigBehind(s.process.clock.Now())
}

// ConfigConfirmedAt implements dispatch.ControlState.
func (s controlState) ConfigConfirmedAt() time.Time {
	return s.process.control.View().ConfigConfirmedAt()
}

// ConfigLoaded implements dispatch.ControlState.
func (s controlState) ConfigLoaded() <-chan struct{} { return s.process.control.Loaded() }

// StopPlan implements dispatch.ControlState.
func (s controlState) StopPlan() *dispatch.StopPlan { return s.process.control.View().StopPlan() }

// Upstream implements dispatch.ControlState.
func (s controlState) Upstream(name fleet.ServiceName) (*dispatch.Upstream, bool) {
	return s.process.control.View().Upstream(name)
}

// Usable implements dispatch.ControlState.
func (s controlState) Usable(service fleet.ServiceName, server registry.Incarnation) bool {
	return s.process.control.View().UsableFor(service, server)
}

// callerPolicy returns the limits for callers from the latest published view.
type callerPolicy struct{ process *Process }

// Limits implements pipeline.Policy.
func (p callerPolicy) Limits() pipeline.Limits {
	limits := p.process.control.View().Routes().Limits()
	return pipeline.Limits{MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// Stopping implements pipeline.Policy.
func (p callerPolicy) Stopping() bool { return p.process.control.View().Stopping() }

// directory returns the addresses of the working set to callers.
type directory struct{ process *Process }

// addressTTL is how long callers may cache addresses. It is short, so that callers
// soon stop using an instance that has stopped; most callers request addresses
// before each connection in any case.
const addressTTL = time.Second

// AddressesFor implements Directory.
func (d directory) AddressesFor(domain fleet.Domain) ([]fleet.Address, time.Duration) {
	var addresses []fleet.Address
	for _, heartbeat := range d.process.control.View().WorkingSet().Assign(domain, processRandom{}) {
		addresses = append(addresses, heartbeat.CallerAddress)
	}
	return addresses, min(addressTTL, d.process.options.Settings.Bounds.AssignmentTTL)
}

// UnreadyReason implements Directory.
func (d directory) UnreadyReason() string { return d.process.control.View().UnreadyReason() }

// followerSink passes the results of the store follower and the copy fetcher to the
// control loop. It refers to the process because follower and loop refer to each
// other and the loop is created last.
type followerSink struct{ process *Process }

// ApplyListing implements follow.Sink.
func (s followerSink) ApplyListing(listing follow.Listing, outage bool) {
	s.process.control.ApplyListing(listing, outage)
}

// ApplyChanges implements follow.Sink.
func (s followerSink) ApplyChanges(batch follow.Batch) { s.process.control.ApplyChanges(batch) }

// HandleStoreLost implements follow.Sink.
func (s followerSink) HandleStoreLost(err error, calledAt time.Time) {
	s.process.control.HandleStoreLost(err, calledAt)
}

// HandleStoreRegained implements follow.Sink.
func (s followerSink) HandleStoreRegained(unavailableFor time.Duration) {
	s.process.control.HandleStoreRegained(unavailableFor)
}

// ApplyConfiguration implements follow.Sink and follow.PeerSink.
func (s followerSink) ApplyConfiguration(document *route.Document) {
	s.process.control.ApplyConfiguration(document)
}

// RefuseConfiguration implements follow.Sink.
func (s followerSink) RefuseConfiguration(refused *follow.ConfigError) {
	s.process.control.RefuseConfiguration(refused)
}

// ReportFetch implements follow.PeerSink.
func (s followerSink) ReportFetch(report follow.FetchReport) { s.process.control.ReportFetch(report) }

// localCopy provides the copy of the store that this instance has.
type localCopy struct{ process *Process }

// Generation implements follow.Copy.
func (c localCopy) Generation(kind follow.Kind) follow.Generation {
	view := c.process.control.View()
	if kind == follow.Configuration {
		return follow.VersionGeneration(view.Routes().Version())
	}
	return follow.PositionGeneration(view.Position())
}

// ChangesSince implements snapshot.Source.
func (c localCopy) ChangesSince(ctx context.Context, known fleet.Position) (follow.Listing, error) {
	return c.process.control.ChangesSince(ctx, known)
}

// Listing implements snapshot.Source.
func (c localCopy) Listing() follow.Listing {
	return c.process.control.View().Listing(c.process.clock.Now())
}

// Configuration implements snapshot.Source.
func (c localCopy) Configuration() *route.Document { return c.process.control.View().Document() }

// processRandom is the process-wide random source. It is safe for concurrent use.
type processRandom struct{}

// Float64 implements balance.Random.
func (processRandom) Float64() float64 { return randv2.Float64() }

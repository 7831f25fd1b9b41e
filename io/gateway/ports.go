package gateway

import (
	randv2 "math/rand/v2"
	"time"

	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/io/caller/pipeline"
)

// sites gives traffic the published control state.
type sites struct{ process *Process }

// Routes implements dispatch.Sites.
func (s sites) Routes() *route.Table { return s.process.control.View().Routes() }

// ConfigLoaded implements dispatch.Sites.
func (s sites) ConfigLoaded() <-chan struct{} { return s.process.control.Loaded() }

// Upstream implements dispatch.Sites.
func (s sites) Upstream(name fleet.ServiceName) (*dispatch.Upstream, bool) {
	return s.process.control.View().Upstream(name)
}

// Usable implements dispatch.Sites.
func (s sites) Usable(service fleet.ServiceName, server registry.Incarnation) bool {
	return s.process.control.View().UsableFor(service, server)
}

// policy gives the limits of callers.
type policy struct{ process *Process }

// Limits implements pipeline.Policy.
func (p policy) Limits() pipeline.Limits {
	limits := p.process.control.View().Routes().Limits()
	return pipeline.Limits{MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// Stopping implements pipeline.Policy.
func (p policy) Stopping() bool { return p.process.control.View().Stopping() }

// assigner answers callers that ask where to connect.
type assigner struct{ process *Process }

// keepFor is how long callers keep addresses. It is short, so that they leave an
// instance soon that is gone; most ask before each connection anyway.
const keepFor = time.Second

// AddressesFor implements Directory.
func (a assigner) AddressesFor(domain fleet.Domain) ([]fleet.Address, time.Duration) {
	var addresses []fleet.Address
	for _, b := range a.process.control.View().WorkingSet().Assign(domain, globalRandom{}) {
		addresses = append(addresses, b.CallerAddress)
	}
	return addresses, min(keepFor, a.process.options.Settings.Bounds.AssignmentTTL)
}

// Ready implements Directory.
func (a assigner) Ready() bool { return a.process.control.View().Ready() }

// sink hands what the follower reads to the control goroutine. It exists because
// the follower and the loop need each other.
type sink struct{ process *Process }

// ApplyListing implements follow.Sink.
func (s sink) ApplyListing(listing follow.Listing, outage bool) {
	s.process.control.ApplyListing(listing, outage)
}

// ApplyChanges implements follow.Sink.
func (s sink) ApplyChanges(changes []follow.Change, revision fleet.Revision) {
	s.process.control.ApplyChanges(changes, revision)
}

// HandleStoreLost implements follow.Sink.
func (s sink) HandleStoreLost(err error) { s.process.control.HandleStoreLost(err) }

// HandleStoreRegained implements follow.Sink.
func (s sink) HandleStoreRegained(after time.Duration) { s.process.control.HandleStoreRegained(after) }

// HandleCopyFetchFailure implements follow.Sink.
func (s sink) HandleCopyFetchFailure(peer fleet.Address, err error) {
	s.process.control.HandleCopyFetchFailure(peer, err)
}

// globalRandom is the process-wide random source, which may be used
// concurrently.
type globalRandom struct{}

// Float64 implements balance.Random.
func (globalRandom) Float64() float64 { return randv2.Float64() }

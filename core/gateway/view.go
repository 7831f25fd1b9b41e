package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// View is the published control state. It is immutable, but the upstreams in it have
// traffic state with locks of their own.
type View struct {
	routes     *route.Table
	document   *route.Document
	registry   *registry.View
	upstreams  map[fleet.ServiceName]*dispatch.Upstream
	usable     map[registry.Incarnation]fleet.ServiceName
	workingSet *workset.View
	position   fleet.Position
	// confirmedAt is when the copy of the store was last known to be current.
	confirmedAt time.Time
	// configConfirmedAt is when the configuration was last known to be current.
	configConfirmedAt time.Time
	configBehind      bool
	// settled is set if no entry that the listing lacks may have lapsed in an outage.
	settled bool
	// outageSeenAt is when an outage of the store was last seen; zero if it never was.
	outageSeenAt time.Time
	// publishedAt is when the control goroutine published the view.
	publishedAt time.Time
	// refused is the newest configuration that cannot be used; nil if there is none.
	refused  *follow.ConfigError
	stopPlan *dispatch.StopPlan
}

// noRoutes is the configuration while the instance has no copy of the store.
var noRoutes = route.NewState().Table()

// Routes returns the active configuration. While the instance has no copy of the store,
// it returns a configuration that is not ready.
func (v *View) Routes() *route.Table {
	if v.position.IsZero() {
		return noRoutes
	}
	return v.routes
}

// Upstream returns the upstream of a service, or false if there is none.
func (v *View) Upstream(name fleet.ServiceName) (*dispatch.Upstream, bool) {
	u, ok := v.upstreams[name]
	return u, ok
}

// UsableFor reports whether a server belongs to a service and takes new requests.
func (v *View) UsableFor(service fleet.ServiceName, server registry.Incarnation) bool {
	found, ok := v.usable[server]
	return ok && found == service
}

// IsListedLive reports whether a server of any service is listed and takes new requests.
func (v *View) IsListedLive(server registry.Incarnation) bool {
	_, ok := v.usable[server]
	return ok
}

// WorkingSet returns the working set and the role of this instance.
func (v *View) WorkingSet() *workset.View { return v.workingSet }

// Position returns the position of the copy of the store; zero if there is none.
func (v *View) Position() fleet.Position { return v.position }

// ConfirmedAt returns when the copy of the store was last known to be current.
func (v *View) ConfirmedAt() time.Time { return v.confirmedAt }

// ConfigConfirmedAt returns when the configuration was last known to be current. It differs
// from ConfirmedAt while a newer configuration is on its way.
func (v *View) ConfigConfirmedAt() time.Time { return v.configConfirmedAt }

// Document returns the active configuration for other instances, or nil if there is none.
func (v *View) Document() *route.Document { return v.document }

// Listing returns the complete server listing for other instances. Its position is zero if
// there is none. It holds what the store listed: other instances decide on their own which
// servers they keep for a grace period, so that no server is kept by passing it on, and which
// ones had left before a restore of the store.
func (v *View) Listing(now time.Time) follow.Listing {
	listing := follow.Listing{Position: v.position, Age: unknownAge, Settled: v.settled}
	if !v.confirmedAt.IsZero() {
		listing.Age = now.Sub(v.confirmedAt)
	}
	if !v.outageSeenAt.IsZero() {
		listing.OutageAge = max(now.Sub(v.outageSeenAt), 1)
	}
	listing.Servers = v.registry.Stored()
	return listing
}

// Registry returns the listed servers.
func (v *View) Registry() *registry.View { return v.registry }

// RefusedConfig returns the newest configuration that cannot be used, or nil if the active
// one is newer.
func (v *View) RefusedConfig() *follow.ConfigError { return v.refused }

// ConfigBehind reports whether a newer configuration may exist: a peer has announced one, or
// the process was frozen and nothing has confirmed its configuration since. The control
// goroutine publishes a view with each tick, so an old view shows a freeze as well.
func (v *View) ConfigBehind(now time.Time) bool {
	return v.configBehind || now.Sub(v.publishedAt) > freezeGap
}

// Stopping reports whether a planned stop has begun.
func (v *View) Stopping() bool { return v.stopPlan != nil }

// StopPlan returns the plan of the planned stop that is under way, or nil.
func (v *View) StopPlan() *dispatch.StopPlan { return v.stopPlan }

// Loaded reports whether the instance has a configuration and a server listing.
func (v *View) Loaded() bool { return v.routes.Ready() && !v.position.IsZero() }

// Ready reports whether this instance should be assigned to callers.
func (v *View) Ready() bool {
	return v.Loaded() && !v.Stopping()
}

// UnreadyReason returns why the instance is not ready, empty if it is.
func (v *View) UnreadyReason() string {
	switch {
	case v.Ready():
		return ""
	case v.Stopping():
		return "a planned stop is under way"
	case !v.routes.Ready() && v.refused != nil:
		return "no configuration is active: " + v.refused.Error()
	case !v.routes.Ready():
		return "no configuration was received yet"
	default:
		return "no server listing was received yet"
	}
}

// ServerCounts returns the number of servers in each condition and of their outstanding
// requests, by service.
func (v *View) ServerCounts(now time.Time) map[fleet.ServiceName]balance.Counts {
	counts := make(map[fleet.ServiceName]balance.Counts, len(v.upstreams))
	for name, u := range v.upstreams {
		counts[name] = u.Servers.Counts(now)
	}
	return counts
}

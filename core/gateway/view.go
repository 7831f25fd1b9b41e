package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// View is the published control state. It is immutable; the upstreams in it
// carry traffic state of their own.
type View struct {
	routes    *route.Table
	registry  *registry.View
	upstreams map[fleet.ServiceName]*dispatch.Upstream
	usable    map[registry.Incarnation]fleet.ServiceName
	working   *workset.View
	revision  fleet.Revision
	// confirmedAt is when the copy of the store was last known to be current.
	confirmedAt time.Time
	stopping    bool
}

// noRoutes stands for the routes while the instance has no current copy.
var noRoutes = route.NewState().Table()

// Routes returns the configuration in force, and one that is not ready while the
// instance has no current copy of the store.
func (v *View) Routes() *route.Table {
	if v.revision == 0 {
		return noRoutes
	}
	return v.routes
}

// Upstream returns a service.
func (v *View) Upstream(name fleet.ServiceName) (*dispatch.Upstream, bool) {
	u, ok := v.upstreams[name]
	return u, ok
}

// UsableFor reports whether a server of a service may get requests.
func (v *View) UsableFor(service fleet.ServiceName, server registry.Incarnation) bool {
	found, ok := v.usable[server]
	return ok && found == service
}

// IsListedLive reports whether a server is listed and takes requests.
func (v *View) IsListedLive(server registry.Incarnation) bool {
	_, ok := v.usable[server]
	return ok
}

// WorkingSet returns the order of the instances.
func (v *View) WorkingSet() *workset.View { return v.working }

// Revision returns the revision of the copy of the store.
func (v *View) Revision() fleet.Revision { return v.revision }

// ConfirmedAt returns when the copy of the store was last known to be current.
func (v *View) ConfirmedAt() time.Time { return v.confirmedAt }

// Registry returns the listed servers.
func (v *View) Registry() *registry.View { return v.registry }

// Stopping reports whether a planned stop has begun.
func (v *View) Stopping() bool { return v.stopping }

// Loaded reports whether the instance could serve: it has a configuration and
// servers.
func (v *View) Loaded() bool { return v.routes.Ready() && v.revision > 0 }

// Ready reports whether callers should be sent here.
func (v *View) Ready() bool {
	return v.Loaded() && !v.stopping
}

// ServerCounts returns what is believed of the servers of each service.
func (v *View) ServerCounts(now time.Time) map[fleet.ServiceName]balance.Counts {
	counts := make(map[fleet.ServiceName]balance.Counts, len(v.upstreams))
	for name, u := range v.upstreams {
		counts[name] = u.Servers.Counts(now)
	}
	return counts
}

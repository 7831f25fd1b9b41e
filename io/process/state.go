package process

import (
	"maps"
	"slices"
	"time"

	"galenaridge/core/control"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/health"
	"galenaridge/io/operator"
)

// State implements operator.StateSource.
func (p *Process) State() any {
	now := p.options.Clock.Now()
	view := p.control.View()
	self := view.Members.Self()
	state := operator.InstanceState{
		Instance: operator.Instance{
			ID:            self.Member.ID,
			Incarnation:   self.Member.Incarnation,
			Domain:        self.Domain,
			CallerAddress: self.CallerAddress,
			PeerAddress:   self.PeerAddress,
			Release:       p.options.Release,
			StartedAt:     p.started.UTC(),
		},
		Ready:    view.Ready(now),
		Draining: p.engine.Stopping(),
		Lease:    leaseState(view, now),
		Config:   p.configState(view, now),
		Listing:  operator.Listing{Revision: view.Listing.Revision, AgeMS: ageMillis(now, view.ListingAdoptedAt)},
		Peers:    peerStates(view),
	}
	held, inherited := p.engine.RecordCounts()
	state.Records = operator.Records{Held: held, MaxRecords: p.options.Settings.Limits.Records, Inherited: inherited}
	for _, total := range p.keys.Totals() {
		state.Customers = append(state.Customers, operator.Customer{
			Name: total.Name, Configured: true, Keys: total.Keys, Requests: total.Requests, Refused: total.Refused,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		addService(&state, view.Services[name], now)
	}
	return state
}

func leaseState(view *control.View, now time.Time) operator.Lease {
	lease := operator.Lease{Valid: view.HasLease(now)}
	if lease.Valid {
		lease.TimeLeftMS = view.Members.LeaseUntil().Sub(now).Milliseconds()
	}
	for _, witness := range view.Members.Self().Witnesses {
		lease.Witnesses = append(lease.Witnesses, witness.ID)
	}
	return lease
}

func (p *Process) configState(view *control.View, now time.Time) operator.Config {
	state := operator.Config{
		Version:          view.Config.Version(),
		Digest:           view.Config.Digest(),
		AgeMS:            ageMillis(now, view.ConfigAdoptedAt),
		KeysRequired:     p.keys != nil,
		WatchingPlatform: view.WatchingPlatform,
	}
	for _, w := range p.watchers {
		if since, failing := w.FailingSince(); failing {
			state.PlatformFailingMS = ageMillis(now, since)
		}
	}
	return state
}

// ageMillis returns the time since at in milliseconds, or 0 if at is not set.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds()
}

func peerStates(view *control.View) []operator.Peer {
	peers := make([]operator.Peer, 0, len(view.Members.Members()))
	for _, info := range view.Members.Members() {
		if info.Member == view.Members.Self().Member {
			continue
		}
		state := info.Status.String()
		if info.Suspected && !info.Status.Ended() {
			state += " (suspected)"
		}
		peers = append(peers, operator.Peer{
			ID:            info.Member.ID,
			Incarnation:   info.Member.Incarnation,
			Domain:        info.Domain,
			State:         state,
			CallerAddress: info.CallerAddress,
		})
	}
	return peers
}

// addService adds the state of a service, its owned servers and its permits.
func addService(state *operator.InstanceState, service *control.Service, now time.Time) {
	load := service.Pool.Load()
	entry := operator.Service{
		Name:           service.Config.Name,
		Slots:          load.Slots,
		BusySlots:      load.Busy,
		QueuedRequests: load.Queued,
		Floor:          service.Config.Floor,
	}
	if service.Steward != nil {
		entry.IsSteward = true
		entry.UsableServers = service.Steward.Usable
		for _, permit := range service.Steward.Permits {
			state.Permits = append(state.Permits, operator.Permit{
				Server:     permit.Server,
				Service:    service.Config.Name,
				Holder:     permit.Owner.ID,
				TimeLeftMS: permit.Expires.Sub(now).Milliseconds(),
			})
		}
	}
	state.Services = append(state.Services, entry)
	for _, id := range slices.Sorted(maps.Keys(service.OwnedServers)) {
		addServer(state, service, service.OwnedServers[id], now)
	}
}

// addServer adds the state of an owned server, and its ejection if it is ejected.
func addServer(state *operator.InstanceState, service *control.Service, server *control.OwnedServer, now time.Time) {
	status, _ := service.Health.Status(server.Listed.ID)
	snapshot := server.Counters.Snapshot(now)
	state.OwnedServers = append(state.OwnedServers, operator.OwnedServer{
		ID:          server.Listed.ID,
		Service:     service.Config.Name,
		Domain:      server.Listed.Domain,
		Address:     server.Listed.Address,
		Health:      status.Condition.String(),
		Reason:      status.Reason.String(),
		HealthSince: status.Since.UTC(),
		Slots:       service.Config.Slots,
		BusySlots:   fleet.Slots(snapshot.InFlight),
		Weight:      trafficWeight(status.Condition),
	})
	if status.Condition != health.Ejected && status.Condition != health.Trial {
		return
	}
	state.Ejections = append(state.Ejections, operator.Ejection{
		Server:           server.Listed.ID,
		Service:          service.Config.Name,
		Reason:           status.Reason.String(),
		Since:            status.Since.UTC(),
		PermitTimeLeftMS: permitLeftMillis(service, server.Listed.ID, now),
		Relapses:         status.Relapses,
	})
}

// permitLeftMillis returns the remaining time of a server's ejection permit in
// milliseconds, or 0 if there is no permit.
func permitLeftMillis(service *control.Service, server fleet.ServerID, now time.Time) int64 {
	expires, found := floor.PermitExpiry(service.Permits.Permits(), server)
	if !found {
		return 0
	}
	return expires.Sub(now).Milliseconds()
}

// trafficWeight returns the share of its normal traffic that a server in a
// condition may receive, from 0 to 1.
func trafficWeight(condition health.Condition) float64 {
	switch condition {
	case health.Healthy:
		return 1
	case health.Suspect, health.Trial:
		return 0.25
	default:
		return 0
	}
}

// registerMetrics registers the gauges of the control state, the traffic engine and
// control messages.
func (p *Process) registerMetrics() {
	gauges := []struct {
		name string
		read func(view *control.View, now time.Time) float64
	}{
		{"galenaridge_config_version", func(v *control.View, _ time.Time) float64 { return float64(v.Config.Version()) }},
		{"galenaridge_list_revision", func(v *control.View, _ time.Time) float64 { return float64(v.Listing.Revision) }},
		{"galenaridge_lease_valid", func(v *control.View, now time.Time) float64 { return boolValue(v.HasLease(now)) }},
		{"galenaridge_members", func(v *control.View, _ time.Time) float64 { return float64(len(v.Members.Members())) }},
		{"galenaridge_servers_owned", func(v *control.View, _ time.Time) float64 { return float64(countServers(v, anyServer)) }},
		{"galenaridge_servers_ejected", func(v *control.View, _ time.Time) float64 { return float64(countServers(v, ejectedServer)) }},
	}
	for _, gauge := range gauges {
		p.metrics.NewGauge(gauge.name, func() float64 { return gauge.read(p.control.View(), p.options.Clock.Now()) })
	}
	p.metrics.NewGauge("galenaridge_requests_in_flight", func() float64 { return float64(p.engine.InFlight()) })
	p.metrics.NewGauge("galenaridge_records_held", func() float64 {
		held, _ := p.engine.RecordCounts()
		return float64(held)
	})
	p.metrics.NewGauge("galenaridge_control_sent_bytes", func() float64 { return float64(p.controlMeter.Totals().SentBytes) })
	p.metrics.NewGauge("galenaridge_control_received_bytes", func() float64 { return float64(p.controlMeter.Totals().ReceivedBytes) })
	p.metrics.NewGauge("galenaridge_control_sent_messages", func() float64 { return float64(p.controlMeter.Totals().SentMessages) })
	p.metrics.NewGauge("galenaridge_control_received_messages", func() float64 { return float64(p.controlMeter.Totals().ReceivedMessages) })
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func countServers(view *control.View, match func(health.Status) bool) int {
	count := 0
	for _, service := range view.Services {
		for id := range service.OwnedServers {
			status, _ := service.Health.Status(id)
			if match(status) {
				count++
			}
		}
	}
	return count
}

func anyServer(health.Status) bool { return true }

func ejectedServer(status health.Status) bool {
	return status.Condition == health.Ejected || status.Condition == health.Trial
}

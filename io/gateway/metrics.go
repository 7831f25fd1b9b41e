package gateway

import (
	"bytes"
	"fmt"

	"github.com/gofiber/fiber/v3"

	core "galenaridge/core/gateway"
	"galenaridge/io/memory"
)

// registerGauges adds the gauges of the control state.
func (p *Process) registerGauges() {
	gauges := []struct {
		name string
		read func(v *core.View) float64
	}{
		{"galenaridge_config_version", func(v *core.View) float64 { return float64(v.Routes().Version()) }},
		{"galenaridge_list_revision", func(v *core.View) float64 { return float64(v.Position().Revision) }},
		{"galenaridge_list_era", func(v *core.View) float64 { return float64(v.Position().Era) }},
		{"galenaridge_list_age_seconds", func(v *core.View) float64 {
			if v.ConfirmedAt().IsZero() {
				return 0
			}
			return p.clock.Now().Sub(v.ConfirmedAt()).Seconds()
		}},
		{"galenaridge_config_age_seconds", func(v *core.View) float64 {
			if v.ConfigConfirmedAt().IsZero() {
				return 0
			}
			return p.clock.Now().Sub(v.ConfigConfirmedAt()).Seconds()
		}},
		{"galenaridge_config_behind", func(v *core.View) float64 {
			if v.ConfigBehind(p.clock.Now()) {
				return 1
			}
			return 0
		}},
		{"galenaridge_config_refused", func(v *core.View) float64 {
			if v.RefusedConfig() != nil {
				return 1
			}
			return 0
		}},
		{"galenaridge_servers", func(v *core.View) float64 { return float64(v.Registry().ServerCount()) }},
		{"galenaridge_peers_live", func(v *core.View) float64 { return float64(v.WorkingSet().LivePeerCount()) }},
		{"galenaridge_place", func(v *core.View) float64 { return float64(v.WorkingSet().Role()) }},
	}
	for _, g := range gauges {
		p.metrics.NewGauge(g.name, func() float64 { return g.read(p.control.View()) })
	}
	if p.quotas.Enabled() {
		p.metrics.NewGauge("galenaridge_quota_contact", func() float64 { return float64(p.quotas.Mode()) })
	}
	p.metrics.NewGauge("galenaridge_requests_in_flight", func() float64 { return float64(p.engine.InFlight()) })
	p.metrics.NewGauge("galenaridge_caller_connections", func() float64 { return float64(p.callerServer.OpenConnections()) })
	p.metrics.NewGauge("galenaridge_request_body_bytes", func() float64 { return float64(p.callerServer.BodyBytes()) })
	for _, kind := range memory.KindValues() {
		p.metrics.NewGauge(fmt.Sprintf("galenaridge_peer_memory_bytes{kind=%q}", kind), func() float64 { return float64(p.memory.UsedFor(kind)) })
	}
	p.metrics.NewGauge("galenaridge_peer_memory_limit_bytes", func() float64 { return float64(p.memory.Limit()) })
	p.metrics.NewGauge("galenaridge_caller_connections_evicted_total", func() float64 {
		evicted, _ := p.callerServer.EvictedConnections()
		return float64(evicted)
	})
	p.metrics.NewGauge("galenaridge_caller_connections_refused_total", func() float64 {
		_, refused := p.callerServer.EvictedConnections()
		return float64(refused)
	})
	p.metrics.NewGauge("galenaridge_server_connections_opened_total", func() float64 { return float64(p.serverPool.ConnectionStats().Opened) })
	p.metrics.NewGauge("galenaridge_server_connections_reused_total", func() float64 { return float64(p.serverPool.ConnectionStats().Reused) })
}

// writeMetrics responds with all metrics in the Prometheus text format.
func (p *Process) writeMetrics(c fiber.Ctx) error {
	var b bytes.Buffer
	p.metrics.WritePrometheus(&b)
	for name, counts := range p.control.View().ServerCounts(p.clock.Now()) {
		for _, g := range []struct {
			state string
			count int
		}{
			{"healthy", counts.Healthy},
			{"stalling", counts.Stalling},
			{"suspected", counts.Suspected},
			{"cut", counts.Cut},
		} {
			fmt.Fprintf(&b, "galenaridge_service_servers{service=%q,state=%q} %d\n", name, g.state, g.count)
		}
		fmt.Fprintf(&b, "galenaridge_service_unused{service=%q} %d\n", name, counts.Unused)
		fmt.Fprintf(&b, "galenaridge_service_outstanding{service=%q} %d\n", name, counts.Outstanding)
		fmt.Fprintf(&b, "galenaridge_service_first_servers{service=%q} %d\n", name, counts.First)
		fmt.Fprintf(&b, "galenaridge_service_first_outstanding{service=%q} %d\n", name, counts.FirstOutstanding)
		fmt.Fprintf(&b, "galenaridge_service_server_load{service=%q,of=\"mean\"} %.2f\n", name, counts.Load)
		fmt.Fprintf(&b, "galenaridge_service_server_load{service=%q,of=\"largest\"} %.0f\n", name, counts.LargestLoad)
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(b.Bytes())
}

package gateway

import (
	"maps"
	"slices"
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
)

// updateRequestRate updates the moving average of the request rate.
func (s *state) updateRequestRate(now time.Time) {
	elapsed := now.Sub(s.rateMeasuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s.rateMeasuredAt = now
	started := s.options.Traffic.RequestsStarted()
	rate := float64(started-s.requestsStarted) / elapsed
	s.requestsStarted = started
	s.requestRate += rateWeight * (rate - s.requestRate)
}

// updateRole recomputes the working set and follows the role of this instance in it.
func (s *state) updateRole(now time.Time) {
	if s.workingSet.SetLocalStatus(workset.LocalStatus{
		Leaving:          s.stopPlan != nil,
		Ready:            s.loaded() && s.stopPlan == nil,
		Slow:             s.lag.slow,
		StoreUnreachable: s.isReading() && s.storeLost,
		OutageSeenAt:     s.ownOutageSeenAt(),
		RequestRate:      s.requestRate,
		Version:          s.routes.Version(),
		Position:         s.position,

		CopyConfirmedAt:   s.confirmedAt,
		ConfigConfirmedAt: s.configConfirmedAt,

		ReadsStore: s.readsStore(now),
		ReadAt:     s.readAt,
	}) {
		s.heartbeatUrgent = true
	}
	change := s.workingSet.UpdateView(now)
	view := s.workingSet.View()
	if change.RoleChanged {
		s.heartbeatUrgent = true
		s.options.Events.RoleChanged(view.Role(), view.LivePeerCount())
	}
	if change.ActiveChanged {
		s.options.Events.WorkingSetChanged(s.activeAddresses())
	}
	if change.RoleChanged {
		s.roleChangedAt = now
	}
	s.updateQuotas()
	s.updateUnattended()
	s.updateAffinity()
	s.updateReading(now)
}

// loaded reports whether this instance has a configuration and a server listing.
func (s *state) loaded() bool { return s.routes.Table().Ready() && !s.position.IsZero() }

// copyAge returns the time since the copy was last confirmed to be current.
func (s *state) copyAge(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(s.confirmedAt)
}

// configAge returns the time since the configuration was last confirmed to be current.
func (s *state) configAge(now time.Time) time.Duration {
	if s.configConfirmedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(s.configConfirmedAt)
}

// recordCopyAge sets copyOldAt if the copy is old now.
func (s *state) recordCopyAge(now time.Time) {
	if s.copyAge(now) > oldCopyAge {
		s.copyOldAt = now
	}
}

// copyRecentlyOld reports whether the copy was old within the last lapseGrace. An old
// copy means that the store was unavailable to all instances, so entries of live servers
// may have lapsed. If the store refused only this instance, the heartbeats of others
// confirmed the copy, so a server that is missing from a listing has been removed.
func (s *state) copyRecentlyOld(now time.Time) bool {
	s.recordCopyAge(now)
	return !s.copyOldAt.IsZero() && now.Sub(s.copyOldAt) <= lapseGrace
}

// maxReportedServers bounds the servers in one report, which has to fit into one datagram.
const maxReportedServers = 90

// updateUnattended tells the pools which failure domains with servers have no active
// instance that gets requests.
func (s *state) updateUnattended() {
	view := s.workingSet.View()
	if view.Role() != workset.Active {
		return
	}
	unattended := make(map[fleet.Domain]bool)
	for _, name := range s.registry.View().Services() {
		for _, server := range s.registry.View().Servers(name) {
			if !view.IsAttended(server.Domain) {
				unattended[server.Domain] = true
			}
		}
	}
	if maps.Equal(unattended, s.unattended) {
		return
	}
	s.unattended = unattended
	for _, u := range s.upstreams {
		u.Servers.SetUnattended(unattended)
	}
}

// updateAffinity tells the pools which instances of the own failure domain are active.
func (s *state) updateAffinity() {
	view := s.workingSet.View()
	var active []fleet.InstanceID
	if view.Role() == workset.Active {
		for _, heartbeat := range view.AllActive() {
			if heartbeat.Domain == s.options.Self.Domain {
				active = append(active, heartbeat.Member.ID)
			}
		}
	}
	if slices.Equal(active, s.activeInDomain) {
		return
	}
	s.activeInDomain = active
	for _, u := range s.upstreams {
		u.Servers.SetActive(active)
	}
}

// unusedReportInterval is the time between two reports of unused servers to Events.
const unusedReportInterval = time.Second

// reportUnused reports the services of which an active instance does not keep all servers in
// use, and once the end of that.
func (s *state) reportUnused(now time.Time) {
	if s.workingSet.View().Role() != workset.Active || now.Sub(s.unusedReportedAt) < unusedReportInterval {
		return
	}
	s.unusedReportedAt = now
	for name, u := range s.upstreams {
		counts := u.Servers.Counts(now)
		if counts.Unused > 0 || s.unused[name] {
			s.options.Events.ServersUnused(name, counts)
		}
		s.unused[name] = counts.Unused > 0
	}
}

// reportServers sends reports about servers to the other active instances. If there are
// too many servers for one datagram, instances of another failure domain get reports only
// about the servers there: they rarely use other servers, and traffic between failure
// domains is paid for by the byte.
func (s *state) reportServers(now time.Time) {
	recipients := make(map[fleet.Domain][]fleet.Address)
	for _, heartbeat := range s.workingSet.View().AllActive() {
		if heartbeat.Member.ID != s.options.Self.Member.ID {
			recipients[heartbeat.Domain] = append(recipients[heartbeat.Domain], heartbeat.PeerAddress)
		}
	}
	if len(recipients) == 0 {
		return
	}
	var reports []balance.ServerReport
	for _, u := range s.upstreams {
		reports = append(reports, u.Servers.CollectReports(now)...)
	}
	for domain, addresses := range recipients {
		if domain == s.options.Self.Domain || len(reports) <= maxReportedServers {
			s.sendReports(reports, addresses)
			continue
		}
		s.sendReports(reportsInDomain(reports, domain, s.unattended), addresses)
	}
}

// reportsInDomain returns the reports about servers of a failure domain, and those that
// instances of all failure domains need: about servers with which some of them assist, and
// about servers of unattended failure domains.
func reportsInDomain(reports []balance.ServerReport, domain fleet.Domain, unattended map[fleet.Domain]bool) []balance.ServerReport {
	var found []balance.ServerReport
	for _, report := range reports {
		if report.Domain == domain || report.Shared || unattended[report.Domain] {
			found = append(found, report)
		}
	}
	return found
}

// sendReports sends reports about servers, in as many datagrams as they need.
func (s *state) sendReports(reports []balance.ServerReport, recipients []fleet.Address) {
	for len(reports) > 0 {
		n := min(len(reports), maxReportedServers)
		s.options.Peers.SendReport(Report{Sender: s.options.Self.Member, ServerReports: reports[:n]}, recipients)
		reports = reports[n:]
	}
}

func (s *state) activeAddresses() []fleet.Address {
	var addresses []fleet.Address
	for _, heartbeat := range s.workingSet.View().AllActive() {
		addresses = append(addresses, heartbeat.CallerAddress)
	}
	return addresses
}

// sendHeartbeats sends the heartbeats that are due.
func (s *state) sendHeartbeats() {
	for _, outgoing := range s.workingSet.DueHeartbeats(s.options.Clock.Now(), s.heartbeatUrgent) {
		if len(outgoing.Recipients) > 0 {
			s.options.Peers.SendHeartbeat(outgoing.Heartbeat, outgoing.Recipients)
		}
	}
	s.heartbeatUrgent = false
}

// localQuota returns the part of the fleet's retry quota that this instance may use. An
// instance that is not active gets no allowance, since there are many such instances.
// The allowance of an instance that has become active grows over one window, since the
// instance that it replaces has used a part of it in the same window. An instance that knows
// no other one gets none, since any number of them may be in the same situation.
func (s *state) localQuota() retry.Quota {
	view := s.workingSet.View()
	quota := retry.Quota{Ratio: quotaShare * s.options.Quota.Ratio, Span: s.options.Quota.Span}
	if view.Role() == workset.Active && !view.IsFleetUnknown() {
		active := s.options.Clock.Now().Sub(s.roleChangedAt)
		grownShare := min(float64(active)/float64(quota.Span), 1)
		quota.Allowance = grownShare * s.options.Quota.Allowance / float64(view.ActiveCount()+spareQuotaParts)
	}
	return quota
}

// updateQuotas sets the quota of this instance in all upstreams.
func (s *state) updateQuotas() {
	quota := s.localQuota()
	for _, u := range s.upstreams {
		u.RepeatWindow.SetQuota(quota)
	}
}

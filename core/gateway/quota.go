package gateway

import (
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/quota"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// applyLimits sets the limits of the customers of a configuration.
func (s *state) applyLimits(now time.Time, document *route.Document) {
	limits := make([]quota.Limit, 0, len(document.Customers))
	for i := range document.Customers {
		c := &document.Customers[i]
		limits = append(limits, quota.Limit{Customer: c.Name, RatePerSecond: float64(c.Rate), Burst: float64(c.Burst)})
	}
	s.options.Quotas.SetLimits(now, document.Version, limits)
}

// updateLimiter tells the limiter which instances admit requests, and sends its reports.
func (s *state) updateLimiter(now time.Time) {
	limiter := s.options.Quotas
	if !limiter.Enabled() {
		return
	}
	view := s.workingSet.View()
	peers := quota.Peers{SelfActive: view.Role() == workset.Active, Majority: view.HasMajority(), Size: view.Size(), FleetUnknown: view.IsFleetUnknown()}
	for _, heartbeat := range view.AllActive() {
		if heartbeat.Member.ID != s.options.Self.Member.ID {
			peers.Active = append(peers.Active, heartbeat.Member)
		}
	}
	limiter.SetPeers(now, peers)
	for _, outgoing := range limiter.CollectReports(now) {
		var addresses []fleet.Address
		for _, member := range outgoing.Recipients {
			if address, found := s.workingSet.PeerAddress(member.ID); found {
				addresses = append(addresses, address)
			}
		}
		if len(addresses) > 0 {
			s.options.Peers.SendReport(Report{Sender: s.options.Self.Member, Quota: outgoing.Report}, addresses)
		}
	}
}

// applyQuotaReport takes the report of another instance into account, if that instance is
// known from its heartbeats.
func (s *state) applyQuotaReport(now time.Time, report Report) {
	if s.workingSet.RecordReport(now, report.Sender) {
		s.options.Quotas.ApplyReport(now, report.Sender, report.Quota)
	}
}

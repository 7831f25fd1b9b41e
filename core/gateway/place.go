package gateway

import (
	"time"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
)

// measure updates the rate of requests.
func (s *state) measure(now time.Time) {
	elapsed := now.Sub(s.ticked).Seconds()
	if elapsed <= 0 {
		return
	}
	s.ticked = now
	started := s.options.Traffic.RequestsStarted()
	rate := float64(started-s.started) / elapsed
	s.started = started
	s.rate += rateWeight * (rate - s.rate)
}

// place recomputes the order of the instances and acts on the own place.
func (s *state) place(now time.Time) {
	if s.working.SetLocalStatus(workset.LocalStatus{
		Leaving:          s.stopping,
		Ready:            s.loaded() && !s.stopping,
		Slow:             s.lag.slow,
		StoreUnreachable: s.watching && s.storeLost,
		RequestRate:      s.rate,
		Version:          s.routes.Version(),
		Revision:         s.revision,
		CopyAge:          s.age(now),
	}) {
		s.urgent = true
	}
	change := s.working.UpdateView(now)
	view := s.working.View()
	if change.RoleChanged {
		s.urgent = true
		s.options.Events.RoleChanged(view.Role(), view.LivePeerCount())
	}
	if change.ActiveChanged {
		s.options.Events.WorkingSetChanged(s.activeAddresses())
	}
	if change.RoleChanged {
		s.activeAt = now
	}
	s.shareQuota()
	s.watch(s.mustWatch(now))
}

// loaded reports whether this instance has a configuration and servers.
func (s *state) loaded() bool { return s.routes.Table().Ready() && s.revision > 0 }

// age returns how long ago the copy was known to be current.
func (s *state) age(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(s.confirmedAt)
}

// noteAge keeps when the copy was old last.
func (s *state) noteAge(now time.Time) {
	if s.age(now) > agedAfter {
		s.agedAt = now
	}
}

// aged reports whether the copy was old a short time ago. Then the store was away
// for all, and servers may have lapsed meanwhile. While it turned away just this
// instance, others confirmed the copy, and a server that is missing is gone.
func (s *state) aged(now time.Time) bool {
	s.noteAge(now)
	return !s.agedAt.IsZero() && now.Sub(s.agedAt) <= lapseGrace
}

// mustWatch reports whether this instance reads the store. The first in rank that
// the store answers does, and its beats keep all others of its failure domain
// current. When the copy ages all the same, other active instances and the next
// ones in rank read it as well.
func (s *state) mustWatch(now time.Time) bool {
	if s.revision == 0 {
		return s.mustList(now)
	}
	view := s.working.View()
	if view.IsStoreReader() && view.Role() == workset.Active {
		return true
	}
	age := s.age(now)
	rank := view.Rank()
	helper := rank <= firstHelpers || view.Role() == workset.Active
	if view.IsStoreReader() || age > ownAfter && helper || age > ownAfter+helpPause && rank <= lastHelpers {
		s.helpUntil = now.Add(helpFor)
	}
	return now.Before(s.helpUntil)
}

// mustList reports whether this instance, which has no copy yet, reads the store.
// While others have a copy it waits for theirs, since a listing is many calls. When
// all start for the first time, one instance of each failure domain reads.
func (s *state) mustList(now time.Time) bool {
	uptime := now.Sub(s.startedAt)
	switch {
	case s.options.FirstStart:
		return uptime >= firstWait || uptime >= meetAllWait && s.working.View().IsStoreReader()
	case s.copies:
		return uptime >= copyWait
	default:
		return uptime >= meetWait
	}
}

// watch starts or ends the reading of the store.
func (s *state) watch(on bool) {
	on = on || (s.stopping && s.watching)
	if on == s.watching {
		return
	}
	s.watching = on
	s.storeLost = false
	s.options.StoreFollower.SetEnabled(on)
}

// maxShares bounds one report, which is one datagram.
const maxShares = 90

// tell reports to the other active instances what this one knows of servers. Where
// that is more than one datagram, instances of other failure domains are told of
// the servers there only: they seldom use others, and bytes between failure domains
// are paid for.
func (s *state) tell(now time.Time) {
	to := make(map[fleet.Domain][]fleet.Address)
	for _, beat := range s.working.View().AllActive() {
		if beat.Member.ID != s.options.Self.Member.ID {
			to[beat.Domain] = append(to[beat.Domain], beat.PeerAddress)
		}
	}
	if len(to) == 0 {
		return
	}
	var shares []balance.ServerReport
	for _, u := range s.pools {
		shares = append(shares, u.Servers.CollectReports(now)...)
	}
	for domain, addresses := range to {
		if domain == s.options.Self.Domain || len(shares) <= maxShares {
			s.report(shares, addresses)
			continue
		}
		s.report(sharesOf(shares, domain), addresses)
	}
}

// sharesOf returns the shares about servers of a failure domain.
func sharesOf(shares []balance.ServerReport, domain fleet.Domain) []balance.ServerReport {
	var found []balance.ServerReport
	for _, share := range shares {
		if share.Domain == domain {
			found = append(found, share)
		}
	}
	return found
}

// report sends shares in as many reports as they need.
func (s *state) report(shares []balance.ServerReport, to []fleet.Address) {
	for len(shares) > 0 {
		n := min(len(shares), maxShares)
		s.options.Peers.SendReport(Report{Sender: s.options.Self.Member, ServerReports: shares[:n]}, to)
		shares = shares[n:]
	}
}

func (s *state) activeAddresses() []fleet.Address {
	var addresses []fleet.Address
	for _, beat := range s.working.View().AllActive() {
		addresses = append(addresses, beat.CallerAddress)
	}
	return addresses
}

// beat sends a beat if one is due.
func (s *state) beat() {
	for _, sending := range s.working.DueHeartbeats(s.options.Clock.Now(), s.urgent) {
		if len(sending.Recipients) > 0 {
			s.options.Peers.SendHeartbeat(sending.Heartbeat, sending.Recipients)
		}
	}
	s.urgent = false
}

// quota returns the part of the fleet's quota that this instance may use. One that
// is not active gets no allowance, since there are many of them, and one that has
// become active gets it little by little, since the one before it has used a part
// in the same window.
func (s *state) quota() retry.Quota {
	view := s.working.View()
	quota := retry.Quota{Ratio: quotaShare * s.options.Quota.Ratio, Span: s.options.Quota.Span}
	if view.Role() == workset.Active {
		active := s.options.Clock.Now().Sub(s.activeAt)
		grown := min(float64(active)/float64(quota.Span), 1)
		quota.Allowance = grown * s.options.Quota.Allowance / float64(view.ActiveCount()+quotaParts)
	}
	return quota
}

func (s *state) shareQuota() {
	quota := s.quota()
	for _, u := range s.pools {
		u.RepeatWindow.SetQuota(quota)
	}
}

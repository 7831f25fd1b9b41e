package quota

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// peer is another instance that admits requests.
type peer struct {
	member fleet.Member
	// former is the process of the instance before this one, if it is known.
	former fleet.Member
	// active is set if the peer is in the working set.
	active bool
	// reporting is set from the first report of the peer to the one that announces that it
	// stops admitting requests. heardAt is when the latest one came. Reports are expected
	// from awaitedSince on.
	reporting    bool
	heardAt      time.Time
	awaitedSince time.Time
	// sequence is the latest report of the peer, ackedAt when the latest report was sent
	// that the peer acknowledged; what was sent before it became a peer needs no
	// acknowledgement.
	sequence    Sequence
	hasSequence bool
	ackedAt     time.Time
	// completeSince is the time since which its reports state complete knowledge, zero if
	// they do not.
	completeSince time.Time
	// admitting and minority are what the peer reported of the instances that admit requests
	// and of its contact with the fleet.
	admitting int
	minority  bool
	// totals holds what the peer reported of each customer.
	totals map[*account]peerUse
	// silent is set while the peer is out of contact. Until reservedUntil its shares are
	// reserved.
	silent        bool
	reservedUntil time.Time
	reserves      map[*account]float64
	// unreported is what an ended process may have admitted without a report.
	unreported map[*account]float64
	// viaSequence is the latest report of the peer that a third instance acknowledged, and
	// viaAt when it was learned.
	viaSequence Sequence
	viaAt       time.Time
	hasVia      bool
	// fullReports is the number of complete reports that are still to be sent to the peer,
	// the next one not before fullReportAt.
	fullReports  int
	fullReportAt time.Time
}

// peerUse is the last reported use of a customer.
type peerUse struct {
	total  uint64
	window uint32
	at     time.Time
}

// Peers describes the fleet as the heartbeats show it.
type Peers struct {
	// Active are the active instances, except this one.
	Active []fleet.Member
	// SelfActive is set if this instance is active.
	SelfActive bool
	// Majority is set if this instance is in contact with more than half of the fleet.
	Majority bool
	// Size is the number of instances of the fleet.
	Size int
	// FleetUnknown is set while this instance knows of no other one although there may be some.
	FleetUnknown bool
}

// fullReportCount is the number of complete reports that a new peer gets, fullReportInterval
// the time between them. The network may lose some of them.
const (
	fullReportCount    = 3
	fullReportInterval = 400 * time.Millisecond
)

// deafTimeout is how long an active instance may not have acknowledged a report to be out of
// contact in this direction only. One that ended is not active any more after 1.7 s.
const deafTimeout = 2 * time.Second

// viaTimeout is how recently a third instance must have received a new report of a silent
// peer for that peer to count as running.
const viaTimeout = 700 * time.Millisecond

// SetPeers sets which other instances admit requests, and decides in which mode requests
// are admitted until the next call, which is due after a tick of the control goroutine.
func (l *Limiter) SetPeers(now time.Time, peers Peers) {
	if !l.Enabled() {
		return
	}
	before := l.policy.Load()
	if before.isStale(now) {
		l.recordStandstill(now)
	}
	l.takeTouched(now)
	l.setActive(now, peers.Active)
	next := &policy{
		bounds: l.options.Bounds, at: now, knownSince: before.knownSince, synced: before.synced,
		mode: Connected, contactAt: before.contactAt, admitting: 1, size: peers.Size,
	}
	l.active, l.minority = peers.SelfActive, !peers.Majority
	l.updateCrowd(now)
	next.active, next.crowded = l.active, l.crowded
	counts := l.countPeers(now, next)
	l.admitting = next.admitting + next.inactive
	if !l.crowded {
		next.admitting = max(next.admitting, counts.reported)
	}
	next.even = next.evenWeight()
	next.mode = counts.mode(peers.Majority && !peers.FleetUnknown)
	if peers.FleetUnknown {
		next.size, next.unknownSince = maxFleetSize, l.options.Start
	}
	if next.mode == Connected {
		next.contactAt = l.ackedAt
	}
	l.renewKnowledge(now, before, next, peers.SelfActive)
	if next.mode != Connected && before.mode == Connected {
		l.computeShares(now, next)
	}
	l.reserveShares(now, next)
	l.releaseEnded(now)
	l.policy.Store(next)
}

// peerCounts is what the contact with the peers says about the own contact with the fleet.
type peerCounts struct {
	// contested is set if a third instance hears a silent peer.
	contested bool
	// reporting is the number of peers in contact, and minority that of those that are in
	// contact with less than half of the fleet. deaf is the number of active peers that do
	// not acknowledge reports.
	reporting int
	minority  int
	deaf      int
	// reported is the largest number of instances that admit requests, as a peer counts them.
	reported int
}

// countPeers updates the contact with each peer, and counts in the policy the instances that
// admit requests. It sets ackedAt to the latest report that all of them have.
func (l *Limiter) countPeers(now time.Time, next *policy) peerCounts {
	var counts peerCounts
	l.ackedAt = now
	for id, p := range l.peers {
		l.updateContact(now, p)
		switch {
		case p.isForgotten(now, l.options.Bounds.Window):
			l.release(p)
			delete(l.peers, id)
		case p.silent:
			counts.contested = counts.contested || l.getsReports(p) && p.isRunning(now)
			if p.active && now.Sub(later(p.awaitedSince, p.ackedAt)) > deafTimeout {
				counts.deaf++
			}
		case p.reporting && !l.getsReports(p):
			next.inactive++
		case p.reporting:
			next.admitting++
			counts.reporting++
			counts.reported = max(counts.reported, p.admitting)
			if p.minority {
				counts.minority++
			}
			l.ackedAt = fleet.Earlier(l.ackedAt, p.ackedAt)
		case p.active:
			// It does not admit requests yet, or its reports do not arrive.
			next.admitting++
			if now.Sub(p.awaitedSince) <= l.options.Bounds.Window {
				l.ackedAt = fleet.Earlier(l.ackedAt, p.ackedAt)
			}
		}
	}
	return counts
}

// mode returns the mode that follows from the counts, and from whether this instance is in
// contact with most of the fleet.
func (c peerCounts) mode(majority bool) Mode {
	switch {
	case !majority, c.reporting > 0 && c.reporting == c.minority:
		// Instances that do not get frequent heartbeats learn late that they lost contact.
		return Isolated
	case c.deaf > c.reporting:
		// The heartbeats of most others arrive, and the reports of this instance do not.
		return Isolated
	case c.contested:
		return Contested
	default:
		return Connected
	}
}

// recordStandstill handles a freeze of the process or of the machine: what was heard before
// is as old as the freeze. Acknowledgements of reports sent before it prove nothing.
func (l *Limiter) recordStandstill(now time.Time) {
	clear(l.sentAt)
	for _, p := range l.peers {
		p.awaitedSince = now
	}
}

// setActive records which instances are active. A new process of an instance begins anew.
func (l *Limiter) setActive(now time.Time, active []fleet.Member) {
	before := make(map[*peer]bool, len(l.peers))
	for _, p := range l.peers {
		before[p] = p.active
		p.active = false
	}
	for _, member := range active {
		switch known := l.peers[member.ID]; {
		case member.ID == l.options.Self.ID:
		case known != nil && known.reporting && now.Sub(known.heardAt) <= silenceTimeout:
			// The reports show which process runs; heartbeats are rarer.
			known.active = true
		default:
			l.peer(now, member).active = true
		}
	}
	for _, p := range l.peers {
		if p.active && !before[p] && l.crowded {
			// It got no reports before that it would have acknowledged.
			p.awaitedSince = now
		}
	}
}

// peer returns the record of a peer, a new one if the process is new.
func (l *Limiter) peer(now time.Time, member fleet.Member) *peer {
	p, known := l.peers[member.ID]
	if known && p.member == member {
		return p
	}
	next := &peer{member: member, awaitedSince: now, ackedAt: now, totals: make(map[*account]peerUse), fullReports: fullReportCount}
	if known {
		next.former = p.member
		l.release(p)
		l.retire(now, p)
	}
	l.peers[member.ID] = next
	return next
}

// updateContact decides whether a peer is in contact, in both directions if it is active:
// others get no reports that they would have to acknowledge.
func (l *Limiter) updateContact(now time.Time, p *peer) {
	unheard := now.Sub(later(p.awaitedSince, p.heardAt)) > silenceTimeout
	unacknowledged := l.getsReports(p) && now.Sub(later(p.awaitedSince, p.ackedAt)) > silenceTimeout
	silent := p.reporting && (unheard || unacknowledged)
	switch {
	case silent && !p.silent:
		p.silent = true
	case !silent && p.silent:
		p.silent, p.awaitedSince = false, now
		p.fullReports, p.fullReportAt = fullReportCount, now
		if !p.reservedUntil.IsZero() {
			p.reservedUntil = fleet.Earlier(p.reservedUntil, now.Add(syncTime))
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isRunning reports whether a third instance heard from a silent peer lately.
func (p *peer) isRunning(now time.Time) bool {
	return p.hasVia && now.Sub(p.viaAt) <= viaTimeout
}

// isForgotten reports whether a peer neither is active nor has use that counts.
func (p *peer) isForgotten(now time.Time, window time.Duration) bool {
	return !p.active && now.Sub(later(p.awaitedSince, p.heardAt)) > 2*window && now.After(p.reservedUntil)
}

// renewKnowledge decides since when the use of the others is known.
func (l *Limiter) renewKnowledge(now time.Time, before, next *policy, active bool) {
	if active {
		l.usedAt = now
	}
	participating := l.IsParticipating(now)
	if !participating {
		l.endContacts(now)
	}
	gap := next.mode != Isolated && before.mode == Isolated && now.Sub(before.contactAt) > maxGap
	stood := now.Sub(before.at) > maxGap || now.Round(0).Sub(before.at.Round(0)) > maxGap
	if !participating || gap || stood {
		next.knownSince, next.synced = now, false
		l.epoch.Add(1)
		return
	}
	for _, p := range l.peers {
		if !p.silent && !p.completeSince.IsZero() && now.Sub(p.completeSince) >= syncTime && now.Sub(next.knownSince) >= syncTime {
			next.synced = true
		}
	}
	next.synced = next.synced || now.Sub(next.knownSince) >= l.options.Bounds.Window
}

// endContacts forgets who is in contact, while this instance admits no requests and gets no
// reports.
func (l *Limiter) endContacts(now time.Time) {
	for _, p := range l.peers {
		p.reporting, p.silent, p.reservedUntil = false, false, time.Time{}
		p.awaitedSince, p.ackedAt = now, now
		// What the peer admits from now on will be part of what active instances report.
		clear(p.totals)
		l.release(p)
	}
}

// computeShares computes the own share of each customer after a loss of contact.
func (l *Limiter) computeShares(now time.Time, p *policy) {
	for _, a := range l.accounts.Load().all {
		a.mu.Lock()
		s := a.evaluate(p, l.epoch.Load(), l.buckets, now)
		a.share = a.shareOf(p, s.own-s.unknown, s.known-s.unknown)
		a.mu.Unlock()
	}
}

// reserveShares reserves the shares of peers that have become silent, and releases those
// that are no longer in use.
func (l *Limiter) reserveShares(now time.Time, p *policy) {
	for _, peer := range l.peers {
		switch {
		case peer.silent && peer.reserves == nil && peer.reservedUntil.IsZero():
			peer.reservedUntil = peer.heardAt.Add(2 * l.options.Bounds.Window)
			l.reserve(now, p, peer)
		case peer.silent && peer.isRunning(now):
			peer.reservedUntil = now.Add(2 * l.options.Bounds.Window)
		case now.After(peer.reservedUntil):
			l.release(peer)
			if !peer.silent {
				peer.reservedUntil = time.Time{}
			}
		}
	}
}

// reserve reserves the shares of a peer.
func (l *Limiter) reserve(now time.Time, p *policy, silent *peer) {
	silent.reserves = make(map[*account]float64)
	for _, a := range l.accounts.Load().all {
		a.mu.Lock()
		s := a.evaluate(p, l.epoch.Load(), l.buckets, now)
		use := uint32(0)
		if u, found := silent.totals[a]; found && now.Sub(u.at) <= l.options.Bounds.Window {
			use = u.window
		}
		share := a.possibleUse(p, float64(use), s.known)
		// The reserve takes the place of what the peer reported, until it reports again.
		a.removeOthers(use)
		delete(silent.totals, a)
		silent.reserves[a] = share
		a.reserved += share
		a.mu.Unlock()
	}
}

// retire reserves for a window what an ended process may have admitted without a report.
func (l *Limiter) retire(now time.Time, ended *peer) {
	if !ended.reporting || now.Sub(ended.heardAt) > l.options.Bounds.Window {
		return
	}
	p := l.policy.Load()
	ended.unreported = make(map[*account]float64)
	ended.reservedUntil = ended.heardAt.Add(l.options.Bounds.Window + silenceTimeout)
	for _, a := range l.accounts.Load().all {
		use, found := ended.totals[a]
		if !found {
			continue
		}
		a.mu.Lock()
		s := a.evaluate(p, l.epoch.Load(), l.buckets, now)
		unknown := p.weight(shareOfUse(float64(use.window), s.known)) * (p.bounds.ceiling(a.limit) - a.limit)
		ended.unreported[a] = unknown
		a.unreported += unknown
		a.mu.Unlock()
	}
	l.ended = append(l.ended, ended)
}

// releaseEnded ends the reserves of ended processes.
func (l *Limiter) releaseEnded(now time.Time) {
	l.ended = slices.DeleteFunc(l.ended, func(p *peer) bool {
		if now.Before(p.reservedUntil) {
			return false
		}
		for a, n := range p.unreported {
			a.mu.Lock()
			a.unreported = max(a.unreported-n, 0)
			a.mu.Unlock()
		}
		return true
	})
}

// release ends the reserve of a peer.
func (l *Limiter) release(p *peer) {
	for a := range p.reserves {
		p.releaseAccount(a)
	}
	p.reserves = nil
}

// releaseAccount ends the reserve of a peer for one customer.
func (p *peer) releaseAccount(a *account) {
	share, found := p.reserves[a]
	if !found {
		return
	}
	delete(p.reserves, a)
	a.mu.Lock()
	a.reserved = max(a.reserved-share, 0)
	a.mu.Unlock()
}

// updateCrowd decides whether so many instances admit requests although they are not active
// that they count apart, as after a restart of a whole fleet.
func (l *Limiter) updateCrowd(now time.Time) {
	inactive := 0
	for _, p := range l.peers {
		if p.reporting && !p.active {
			inactive++
		}
	}
	crowded := inactive > maxInactive
	if l.crowded && !crowded {
		for _, p := range l.peers {
			p.awaitedSince = now
		}
	}
	l.crowded = crowded
}

// getsReports reports whether a peer gets regular reports: the active ones do, and the others
// that admit requests if they are few. Of many, the active ones tell each what it needs.
func (l *Limiter) getsReports(p *peer) bool { return p.active || p.reporting && !l.crowded }

// Recipients returns the instances that get regular reports.
func (l *Limiter) Recipients() []fleet.Member {
	members := make([]fleet.Member, 0, len(l.peers))
	for _, p := range l.peers {
		if l.getsReports(p) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, fleet.Member.Compare)
	return members
}

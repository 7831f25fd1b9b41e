package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Outgoing is a report with its recipients.
type Outgoing struct {
	Report     Report
	Recipients []fleet.Member
}

// ApplyReport takes the report of another instance into account.
func (l *Limiter) ApplyReport(now time.Time, from fleet.Member, report Report) {
	if !l.Enabled() || from.ID == l.options.Self.ID {
		return
	}
	if known := l.peers[from.ID]; known != nil && known.former == from {
		// A report of an earlier process arrived late.
		return
	}
	p := l.peer(now, from)
	if report.Sequence != 0 && (!p.hasSequence || int32(report.Sequence-p.sequence) > 0) {
		p.hasSequence = true
		p.sequence = report.Sequence
		if p.reporting == report.Leaving {
			p.reporting = !report.Leaving
			p.silent = false
			p.fullReports, p.fullReportAt = fullReportCount, now
			p.awaitedSince, p.ackedAt = now, later(p.ackedAt, now)
		}
	}
	p.heardAt = now
	p.admitting, p.minority = report.Admitting, report.Minority
	switch {
	case !report.Complete:
		p.completeSince = time.Time{}
	case p.completeSince.IsZero():
		p.completeSince = now
	}
	l.applyAcks(now, p, report.Acks)
	bucket := l.buckets.bucket(now)
	for _, use := range report.Uses {
		for _, a := range l.accounts.Load().byKey[use.Key] {
			l.applyUse(now, bucket, p, a, use, report.Complete)
		}
	}
}

// applyAcks records which own reports a peer received, and which ones of silent peers.
func (l *Limiter) applyAcks(now time.Time, p *peer, acks []Ack) {
	self := InstanceKeyOf(l.options.Self.ID)
	for _, ack := range acks {
		if ack.Instance == self {
			if sentAt, found := l.sentAt[ack.Sequence]; found && sentAt.After(p.ackedAt) {
				p.ackedAt = sentAt
			}
			continue
		}
		for _, other := range l.peers {
			if InstanceKeyOf(other.member.ID) != ack.Instance || other == p {
				continue
			}
			if other.hasVia && int32(ack.Sequence-other.viaSequence) <= 0 {
				continue
			}
			other.viaSequence, other.viaAt, other.hasVia = ack.Sequence, now, true
		}
	}
}

// applyUse counts the use of a customer that a peer reported.
func (l *Limiter) applyUse(now time.Time, bucket int64, p *peer, a *account, use Use, complete bool) {
	before, known := p.totals[a]
	if known && use.Total < before.total {
		// An older report arrived late.
		return
	}
	p.totals[a] = peerUse{total: use.Total, window: use.Window, at: now}
	if !p.silent {
		p.releaseAccount(a)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.advance(bucket)
	a.others.advance(bucket)
	added := use.Window
	if known {
		added = uint32(min(use.Total-before.total, uint64(use.Window)))
		a.countOthers(added, bucket-l.buckets.bucket(before.at))
	} else {
		// The use may have been part of what an instance with complete knowledge reported.
		if now.Before(a.surplusUntil) {
			covered := min(added, a.surplus)
			added -= covered
			a.surplus -= covered
		}
		a.others.spread(added, a.others.last, windowBuckets)
	}
	if reserved := float64(use.Reserved); reserved >= a.relayed || !now.Before(a.relayedUntil) {
		a.relayed, a.relayedUntil = reserved, now.Add(relayTime)
	}
	if len(use.Known) > 0 {
		l.applyProfile(now, p, a, use.Known, complete)
	}
}

// applyProfile takes into account what a peer knows of the use of all instances. An instance
// that is not active hears from active ones only, and relies on them for all others.
func (l *Limiter) applyProfile(now time.Time, p *peer, a *account, known []uint32, complete bool) {
	epoch := l.epoch.Load()
	others := a.withoutOwn(known)
	isNew := complete && a.syncEpoch != epoch
	relies := !l.active && p.active && (complete || sum(others) > a.others.sum)
	if !isNew && !relies {
		return
	}
	a.adoptProfile(others)
	if isNew {
		a.syncEpoch = epoch
	}
	if relies {
		// What the others reported before is part of the profile, also what they admitted since.
		for _, other := range l.peers {
			if other != p {
				delete(other.totals, a)
			}
		}
	}
	a.surplus, a.surplusUntil = l.unattributed(a), now.Add(l.options.Bounds.Window)
}

func sum(counts []uint32) uint32 {
	total := uint32(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// unattributed returns the use in the profile of an account that no known instance reported
// by itself. The lock of the account must be held.
func (l *Limiter) unattributed(a *account) uint32 {
	reported := uint32(0)
	for _, p := range l.peers {
		reported += p.totals[a].window
	}
	return a.others.sum - min(reported, a.others.sum)
}

// adoptProfile replaces the use of the others by parts of a window.
func (a *account) adoptProfile(parts []uint32) {
	length := int64(windowBuckets / len(parts))
	a.others.counts = [windowBuckets + 1]uint32{}
	a.others.sum = 0
	for i, n := range parts {
		last := a.others.last - int64(len(parts)-1-i)*length
		a.others.spread(n, last, length)
	}
}

// withoutOwn returns the known use of all instances without the own use that the others know.
func (a *account) withoutOwn(known []uint32) []uint32 {
	own := a.own.parts()
	latest := len(own) - 1
	own[latest] -= min(own[latest], uint32(a.unacked()))
	others := make([]uint32, len(known))
	for i := range known {
		others[i] = known[i] - min(known[i], own[i])
	}
	return others
}

// profile returns the known use in parts of the window. The lock must be held.
func (a *account) profile() []uint32 {
	known := a.own.parts()
	for i, n := range a.others.parts() {
		known[i] += n
	}
	return known
}

// CollectReports returns the reports that are due, at each tick of the control goroutine.
func (l *Limiter) CollectReports(now time.Time) []Outgoing {
	if !l.Enabled() {
		return nil
	}
	l.takeTouched(now)
	recipients := l.Recipients()
	if !l.IsParticipating(now) {
		return l.leavingReports(l.recipients)
	}
	l.recipients = recipients
	l.ticks++
	l.farewells = farewellCount
	if len(recipients) == 0 {
		return nil
	}
	p := l.policy.Load()
	complete := p.mode == Connected && p.synced
	outgoing := l.fullReports(now, p, complete)
	uses, rest := l.dueUses(now, p)
	l.nextSequence()
	l.sentAt[l.sequence] = now
	l.pruneSent(now)
	regular := Report{Sequence: l.sequence, Complete: complete, Admitting: l.admitting, Minority: l.minority, Acks: l.acks(now), Uses: uses}
	outgoing = append(outgoing, Outgoing{Report: regular, Recipients: recipients})
	if l.active {
		outgoing = append(outgoing, l.relayReports(now, p, complete)...)
	}
	for chunk := range slices.Chunk(rest, MaxUses) {
		outgoing = append(outgoing, Outgoing{Report: Report{Complete: complete, Admitting: l.admitting, Minority: l.minority, Uses: chunk}, Recipients: recipients})
	}
	return outgoing
}

// nextSequence sets the sequence of the next report; zero stands for none.
func (l *Limiter) nextSequence() {
	l.sequence++
	if l.sequence == 0 {
		l.sequence++
	}
}

// leavingReports returns the reports that announce that this instance stops admitting
// requests. All that expect further reports get them, whether or not they are active.
func (l *Limiter) leavingReports(recipients []fleet.Member) []Outgoing {
	if l.farewells == 0 {
		return nil
	}
	l.farewells--
	l.nextSequence()
	return []Outgoing{{Report: Report{Sequence: l.sequence, Leaving: true, Minority: l.minority}, Recipients: recipients}}
}

// IsParticipating reports whether this instance was active or admitted requests lately, so
// that it reports its use.
func (l *Limiter) IsParticipating(now time.Time) bool {
	return l.Enabled() && !l.usedAt.IsZero() && now.Sub(l.usedAt) <= l.options.Bounds.Window
}

// takeTouched moves the accounts that changed to those with unreported use.
func (l *Limiter) takeTouched(now time.Time) {
	l.touchedMu.Lock()
	touched := l.touched
	l.touched = nil
	l.touchedMu.Unlock()
	for _, a := range touched {
		a.mu.Lock()
		a.touched = false
		a.mu.Unlock()
		l.unreported[a] = true
	}
	if len(touched) > 0 {
		l.usedAt = now
	}
}

// dueUses returns the uses for the regular report, and those that do not fit into it.
// A use is repeated until all others in contact acknowledged a report with it. Uses that do
// not fit count as not reported.
func (l *Limiter) dueUses(now time.Time, p *policy) (uses, rest []Use) {
	type due struct {
		account *account
		use     Use
		urgency float64
	}
	l.markReserves()
	var all []due
	for a := range l.unreported {
		a.mu.Lock()
		a.confirm(l.ackedAt)
		switch {
		case a.unacked() == 0 && len(a.pending) == 0 && !a.relayDue:
			delete(l.unreported, a)
		default:
			s := a.evaluate(p, l.epoch.Load(), l.buckets, now)
			if len(a.pending) > 0 || l.isDue(a, s) {
				all = append(all, due{account: a, use: a.report(), urgency: s.unknown / max(s.part, 1)})
			}
		}
		a.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b due) int { return -cmp.Compare(a.urgency, b.urgency) })
	for i, d := range all {
		if i >= MaxUses {
			rest = append(rest, d.use)
			continue
		}
		uses = append(uses, d.use)
		d.account.mu.Lock()
		d.account.markReported(now, d.use.Total)
		d.account.mu.Unlock()
	}
	return uses, rest
}

// markReserves makes the customers due of which something is reserved.
func (l *Limiter) markReserves() {
	if l.ticks%relayTicks != 0 {
		return
	}
	for _, p := range l.peers {
		for a := range p.reserves {
			a.mu.Lock()
			a.relayDue = a.relayDue || a.reserved >= 1
			if a.relayDue {
				l.unreported[a] = true
			}
			a.mu.Unlock()
		}
	}
}

// isDue reports whether unreported use of a customer is reported now.
func (l *Limiter) isDue(a *account, s state) bool {
	return a.relayDue || s.known >= nearLimit*a.limit || s.unknown >= reportPart*s.part || uint32(l.ticks+int(a.key))%cycleTicks == 0
}

// confirm takes into account that all others in contact have the reports up to a time.
func (a *account) confirm(ackedAt time.Time) {
	n := 0
	for n < len(a.pending) && !a.pending[n].at.After(ackedAt) {
		a.acked = max(a.acked, a.pending[n].total)
		a.ackAdvanced = true
		n++
	}
	a.pending = slices.Delete(a.pending, 0, n)
}

// markReported records that a total is in a report that is sent now.
func (a *account) markReported(now time.Time, total uint64) {
	a.reported, a.relayDue = max(a.reported, total), false
	if n := len(a.pending); n == 0 || a.pending[n-1].total != total {
		a.pending = append(a.pending, reportedTotal{total: total, at: now})
	}
}

// report returns the use of a customer for a report.
func (a *account) report() Use {
	return Use{Key: a.key, Total: a.total, Window: a.own.sum, Reserved: uint32(math.Ceil(a.reserved))}
}

// relayReports returns reports for the peers that admit requests although they are not
// active, about the customers whose requests they admitted.
func (l *Limiter) relayReports(now time.Time, p *policy, complete bool) []Outgoing {
	var outgoing []Outgoing
	for _, peer := range l.peers {
		if peer.active || !peer.reporting || l.crowded && l.ticks%inactiveTicks != 0 {
			continue
		}
		var uses []Use
		for a, use := range peer.totals {
			if now.Sub(use.at) > l.options.Bounds.Window || len(uses) == MaxProfiledUses {
				continue
			}
			a.mu.Lock()
			a.evaluate(p, l.epoch.Load(), l.buckets, now)
			relayed := a.report()
			relayed.Known = a.profile()
			a.mu.Unlock()
			uses = append(uses, relayed)
		}
		if !l.crowded && (peer.silent || len(uses) == 0) {
			// It gets regular reports.
			continue
		}
		acks := []Ack{{Instance: InstanceKeyOf(peer.member.ID), Sequence: peer.sequence}}
		outgoing = append(outgoing, Outgoing{Report: Report{Complete: complete, Admitting: l.admitting, Minority: l.minority, Acks: acks, Uses: uses}, Recipients: []fleet.Member{peer.member}})
	}
	return outgoing
}

// fullReports returns complete reports for peers that are new.
func (l *Limiter) fullReports(now time.Time, p *policy, complete bool) []Outgoing {
	var recipients []fleet.Member
	for _, peer := range l.peers {
		if peer.fullReports > 0 && peer.reporting && !now.Before(peer.fullReportAt) {
			peer.fullReports--
			peer.fullReportAt = now.Add(fullReportInterval)
			recipients = append(recipients, peer.member)
		}
	}
	if len(recipients) == 0 {
		return nil
	}
	var uses []Use
	for _, a := range l.accounts.Load().all {
		a.mu.Lock()
		a.evaluate(p, l.epoch.Load(), l.buckets, now)
		if a.own.sum > 0 || a.others.sum > 0 {
			use := a.report()
			use.Known = a.profile()
			uses = append(uses, use)
		}
		a.mu.Unlock()
	}
	var outgoing []Outgoing
	for chunk := range slices.Chunk(uses, MaxProfiledUses) {
		outgoing = append(outgoing, Outgoing{Report: Report{Complete: complete, Admitting: l.admitting, Minority: l.minority, Uses: chunk}, Recipients: recipients})
	}
	return outgoing
}

// acks returns acknowledgements of the latest reports of the others, in turn if they are
// many.
func (l *Limiter) acks(now time.Time) []Ack {
	var heard []*peer
	for _, p := range l.peers {
		if p.reporting && l.getsReports(p) && now.Sub(p.heardAt) <= silenceTimeout {
			heard = append(heard, p)
		}
	}
	slices.SortFunc(heard, func(a, b *peer) int { return a.member.Compare(b.member) })
	n := min(len(heard), MaxAcks)
	acks := make([]Ack, 0, n)
	for i := range n {
		p := heard[(l.ackCursor+i)%len(heard)]
		acks = append(acks, Ack{Instance: InstanceKeyOf(p.member.ID), Sequence: p.sequence})
	}
	if len(heard) > 0 {
		l.ackCursor = (l.ackCursor + n) % len(heard)
	}
	return acks
}

// pruneSent forgets when old reports were sent.
func (l *Limiter) pruneSent(now time.Time) {
	for sequence, sentAt := range l.sentAt {
		if now.Sub(sentAt) > 4*silenceTimeout {
			delete(l.sentAt, sequence)
		}
	}
}

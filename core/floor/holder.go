package floor

import (
	"maps"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// MinOwnedTime is how long an owner must have owned a usable server before it
// counts the server in its reports. The previous owner may have counted it in a
// report that is in transit for up to one PermitTTL and is valid for one more
// after its receipt.
const MinOwnedTime = 2 * PermitTTL

// Holder holds the permits of an owner for the servers of one service. Only the
// control goroutine may use it.
type Holder struct {
	self     fleet.Member
	sequence Sequence
	// sentReports holds the reports whose permits may still be valid, oldest first.
	sentReports []sentReport
	permits     map[fleet.ServerID]Permit
	// usableSince is the time since which a server has been usable and owned
	// without interruption.
	usableSince map[fleet.ServerID]time.Time
	// unconfirmedReleases holds the released permits until a reply confirms their
	// release.
	unconfirmedReleases map[fleet.ServerID]release
}

// sentReport is a report that may still get a reply.
type sentReport struct {
	sequence Sequence
	sentAt   time.Time
	requests []EjectionRequest
	released []fleet.ServerID
}

// release is the release of one permit by the owner.
type release struct {
	// firstSequence is the sequence of the first report that lists the release.
	firstSequence Sequence
	releasedAt    time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(self fleet.Member) *Holder {
	return &Holder{
		self:                self,
		permits:             make(map[fleet.ServerID]Permit),
		usableSince:         make(map[fleet.ServerID]time.Time),
		unconfirmedReleases: make(map[fleet.ServerID]release),
	}
}

// BuildReport returns the next report, which must be sent now. It releases the
// permits of servers without a request, so these servers must be back in use
// before the report is sent.
func (h *Holder) BuildReport(now time.Time, usable []fleet.ServerID, requests []EjectionRequest, medianLatency time.Duration) Report {
	h.sequence++
	h.dropExpired(now)
	h.updateUsableSince(now, usable)
	h.releaseUnrequested(now, requests)
	report := Report{
		Owner:         h.self,
		Sequence:      h.sequence,
		Usable:        h.countableServers(now),
		Requests:      slices.Clone(requests),
		Released:      slices.Sorted(maps.Keys(h.unconfirmedReleases)),
		MedianLatency: medianLatency,
	}
	h.sentReports = append(h.sentReports, sentReport{
		sequence: report.Sequence,
		sentAt:   now,
		requests: slices.Clone(requests),
		released: slices.Clone(report.Released),
	})
	return report
}

// dropExpired removes reports and releases whose permits can no longer be valid.
func (h *Holder) dropExpired(now time.Time) {
	h.sentReports = slices.DeleteFunc(h.sentReports, func(r sentReport) bool { return now.Sub(r.sentAt) >= PermitTTL })
	for id, r := range h.unconfirmedReleases {
		if now.Sub(r.releasedAt) >= 2*PermitTTL {
			delete(h.unconfirmedReleases, id)
		}
	}
}

// updateUsableSince updates the times since which servers have been usable.
func (h *Holder) updateUsableSince(now time.Time, usable []fleet.ServerID) {
	for id := range h.usableSince {
		if !slices.Contains(usable, id) {
			delete(h.usableSince, id)
		}
	}
	for _, id := range usable {
		if _, known := h.usableSince[id]; !known {
			h.usableSince[id] = now
		}
	}
}

// releaseUnrequested releases the permits that are held, or that may still be
// granted for earlier reports, for servers without a request.
func (h *Holder) releaseUnrequested(now time.Time, requests []EjectionRequest) {
	giveBack := func(id fleet.ServerID) {
		requested := slices.ContainsFunc(requests, func(r EjectionRequest) bool { return r.Server == id })
		if _, released := h.unconfirmedReleases[id]; released || requested {
			return
		}
		delete(h.permits, id)
		h.unconfirmedReleases[id] = release{firstSequence: h.sequence, releasedAt: now}
	}
	for id := range h.permits {
		giveBack(id)
	}
	for _, report := range h.sentReports {
		for _, request := range report.requests {
			giveBack(request.Server)
		}
	}
}

// PermitChanges lists the servers whose permits were granted or renewed, denied,
// or expired.
type PermitChanges struct {
	Granted []fleet.ServerID
	Denied  []fleet.ServerID
	Expired []fleet.ServerID
}

// HandleReply applies the steward's reply to a report. A permit that is not
// renewed ends at once, and the next report releases it. Replies to expired
// reports are ignored.
func (h *Holder) HandleReply(now time.Time, reply Reply) PermitChanges {
	changes := h.Expire(now)
	h.dropExpired(now)
	i := slices.IndexFunc(h.sentReports, func(r sentReport) bool { return r.sequence == reply.Sequence })
	if i < 0 || !reply.Decided {
		return changes
	}
	report := &h.sentReports[i]
	for id, r := range h.unconfirmedReleases {
		if r.firstSequence <= report.sequence {
			delete(h.unconfirmedReleases, id)
		}
	}
	for _, request := range report.requests {
		if h.releasedAfter(report.sequence, request.Server) {
			continue
		}
		h.applyDecision(now, report, request, slices.Contains(reply.Granted, request.Server), &changes)
	}
	return changes
}

// applyDecision applies the steward's decision on one request.
func (h *Holder) applyDecision(now time.Time, report *sentReport, request EjectionRequest, granted bool, changes *PermitChanges) {
	id := request.Server
	permit, held := h.permits[id]
	expires := report.sentAt.Add(PermitTTL)
	if !expires.After(permit.Expires) {
		// The reply to a later report arrived before this one.
		return
	}
	if granted {
		h.permits[id] = Permit{Server: id, Owner: h.self, Severity: request.Severity, Expires: expires}
		changes.Granted = append(changes.Granted, id)
		return
	}
	changes.Denied = append(changes.Denied, id)
	if held {
		delete(h.permits, id)
		h.unconfirmedReleases[id] = release{firstSequence: h.sequence + 1, releasedAt: now}
	}
}

// Expire removes expired permits and returns their servers.
func (h *Holder) Expire(now time.Time) PermitChanges {
	var changes PermitChanges
	for id, permit := range h.permits {
		if !now.Before(permit.Expires) {
			delete(h.permits, id)
			changes.Expired = append(changes.Expired, id)
		}
	}
	slices.Sort(changes.Expired)
	return changes
}

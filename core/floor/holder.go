package floor

import (
	"maps"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// MinOwnedTime is how long an owner has held a usable server before it counts it.
// The owner before may have counted it in a report that lasts one Life from
// its arrival, and a report may be on its way for one more.
const MinOwnedTime = 2 * PermitTTL

// Holder keeps an owner's permits for the servers of one service. It belongs
// to the control goroutine.
type Holder struct {
	self     fleet.Member
	sequence Sequence
	// sent holds the reports whose permits may still be valid, oldest first.
	sent    []sentReport
	permits map[fleet.ServerID]Permit
	// usableSince is since when a server is usable and owned without a break.
	usableSince map[fleet.ServerID]time.Time
	// releases holds permits that were given back, until a reply confirms it.
	releases map[fleet.ServerID]release
}

// sentReport is what a reply is compared with.
type sentReport struct {
	sequence Sequence
	at       time.Time
	wishes   []EjectionRequest
	released []fleet.ServerID
}

// release is a permit that the owner gave back.
type release struct {
	// first is the first report that lists the release.
	first Sequence
	at    time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(self fleet.Member) *Holder {
	return &Holder{
		self:        self,
		permits:     make(map[fleet.ServerID]Permit),
		usableSince: make(map[fleet.ServerID]time.Time),
		releases:    make(map[fleet.ServerID]release),
	}
}

// BuildReport returns the report to send now. Permits of servers that are no
// longer wished for end with it, so the servers must be in use before it is
// sent.
func (h *Holder) BuildReport(now time.Time, usable []fleet.ServerID, wishes []EjectionRequest, median time.Duration) Report {
	h.sequence++
	h.expire(now)
	h.settle(now, usable)
	h.releaseUnwished(now, wishes)
	report := Report{
		Owner:         h.self,
		Sequence:      h.sequence,
		Usable:        h.settled(now),
		Requests:      slices.Clone(wishes),
		Released:      slices.Sorted(maps.Keys(h.releases)),
		MedianLatency: median,
	}
	h.sent = append(h.sent, sentReport{
		sequence: report.Sequence,
		at:       now,
		wishes:   slices.Clone(wishes),
		released: slices.Clone(report.Released),
	})
	return report
}

// expire forgets reports and releases whose permits can no longer be valid.
func (h *Holder) expire(now time.Time) {
	h.sent = slices.DeleteFunc(h.sent, func(r sentReport) bool { return now.Sub(r.at) >= PermitTTL })
	for id, r := range h.releases {
		if now.Sub(r.at) >= 2*PermitTTL {
			delete(h.releases, id)
		}
	}
}

// settle keeps since when each server is usable.
func (h *Holder) settle(now time.Time, usable []fleet.ServerID) {
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

// releaseUnwished gives back each permit that is held or may yet be granted
// for a server that is no longer wished for.
func (h *Holder) releaseUnwished(now time.Time, wishes []EjectionRequest) {
	give := func(id fleet.ServerID) {
		wished := slices.ContainsFunc(wishes, func(w EjectionRequest) bool { return w.Server == id })
		if _, given := h.releases[id]; given || wished {
			return
		}
		delete(h.permits, id)
		h.releases[id] = release{first: h.sequence, at: now}
	}
	for id := range h.permits {
		give(id)
	}
	for _, report := range h.sent {
		for _, wish := range report.wishes {
			give(wish.Server)
		}
	}
}

// PermitChanges lists permits that began, ended or were not given.
type PermitChanges struct {
	Granted []fleet.ServerID
	Denied  []fleet.ServerID
	Expired []fleet.ServerID
}

// HandleReply takes the steward's reply to a report. A permit that is not renewed
// ends at once; the next report gives it back.
func (h *Holder) HandleReply(now time.Time, reply Reply) PermitChanges {
	change := h.Expire(now)
	h.expire(now)
	i := slices.IndexFunc(h.sent, func(r sentReport) bool { return r.sequence == reply.Sequence })
	if i < 0 || !reply.Decided {
		return change
	}
	report := &h.sent[i]
	for id, r := range h.releases {
		if r.first <= report.sequence {
			delete(h.releases, id)
		}
	}
	for _, wish := range report.wishes {
		if h.releasedAfter(report.sequence, wish.Server) {
			continue
		}
		h.acceptWish(now, report, wish, slices.Contains(reply.Granted, wish.Server), &change)
	}
	return change
}

// acceptWish takes the answer to one wish.
func (h *Holder) acceptWish(now time.Time, report *sentReport, wish EjectionRequest, granted bool, change *PermitChanges) {
	id := wish.Server
	held, holds := h.permits[id]
	expires := report.at.Add(PermitTTL)
	if !expires.After(held.Expires) {
		// A later report was answered before this one.
		return
	}
	if granted {
		h.permits[id] = Permit{Server: id, Owner: h.self, Severity: wish.Severity, Expires: expires}
		change.Granted = append(change.Granted, id)
		return
	}
	change.Denied = append(change.Denied, id)
	if holds {
		delete(h.permits, id)
		h.releases[id] = release{first: h.sequence + 1, at: now}
	}
}

// Expire ends permits whose life has passed.
func (h *Holder) Expire(now time.Time) PermitChanges {
	var change PermitChanges
	for id, permit := range h.permits {
		if !now.Before(permit.Expires) {
			delete(h.permits, id)
			change.Expired = append(change.Expired, id)
		}
	}
	slices.Sort(change.Expired)
	return change
}

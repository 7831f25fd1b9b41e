package floor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// usableServers returns the number of usable servers in valid reports.
func (s *Steward) usableServers() fleet.Servers {
	sum := fleet.Servers(0)
	for _, o := range s.owners {
		sum += o.usable
	}
	return sum
}

// entitledServers returns the requested servers with the highest severity, at
// most as many as the budget allows.
func (s *Steward) entitledServers(budget fleet.Servers) map[fleet.ServerID]bool {
	maxSeverity := make(map[fleet.ServerID]float64)
	for _, o := range s.owners {
		for _, request := range o.requests {
			severity := request.Severity
			if _, held := s.permits[request.Server]; held {
				severity *= heldPermitFactor
			}
			maxSeverity[request.Server] = max(maxSeverity[request.Server], severity)
		}
	}
	ranked := make([]EjectionRequest, 0, len(maxSeverity))
	for id, severity := range maxSeverity {
		ranked = append(ranked, EjectionRequest{Server: id, Severity: severity})
	}
	sortBySeverity(ranked)
	count := min(max(int(budget), 0), len(ranked))
	entitled := make(map[fleet.ServerID]bool, count)
	for _, request := range ranked[:count] {
		entitled[request.Server] = true
	}
	return entitled
}

// medianLatency returns the median of the median latencies in valid reports; zero
// if there are none.
func (s *Steward) medianLatency() time.Duration {
	medians := make([]time.Duration, 0, len(s.owners))
	for _, o := range s.owners {
		if o.medianLatency > 0 {
			medians = append(medians, o.medianLatency)
		}
	}
	if len(medians) == 0 {
		return 0
	}
	slices.Sort(medians)
	return medians[len(medians)/2]
}

// StewardView is an immutable copy of a steward's state.
type StewardView struct {
	Floor fleet.Servers
	// Usable is the number of usable servers in valid reports.
	Usable fleet.Servers
	// Permits lists the outstanding permits in order of server.
	Permits []Permit
	// GrantsFrom is the earliest time at which the steward grants permits; zero if
	// it is inactive.
	GrantsFrom time.Time
}

// Permit is the right of an owner to eject a server until it expires.
type Permit struct {
	Server   fleet.ServerID
	Owner    fleet.Member
	Severity float64
	Expires  time.Time
}

// View returns an immutable copy of the state.
func (s *Steward) View() StewardView {
	return StewardView{
		Floor:      s.floor,
		Usable:     s.usableServers(),
		Permits:    sortedPermits(s.permits),
		GrantsFrom: s.grantsFrom,
	}
}

// EjectionsAllowed returns the number of further servers that may be ejected.
func (v StewardView) EjectionsAllowed() fleet.Servers {
	return max(v.Usable-v.Floor-fleet.Servers(len(v.Permits)), 0)
}

// countableServers returns the number of servers that have been usable and owned
// for at least MinOwnedTime.
func (h *Holder) countableServers(now time.Time) fleet.Servers {
	count := fleet.Servers(0)
	for _, since := range h.usableSince {
		if now.Sub(since) >= MinOwnedTime {
			count++
		}
	}
	return count
}

// releasedAfter reports whether a later report, sent or to be sent, releases the
// permit of a server. A grant for the earlier report is void in this case, as the
// steward may already have granted the permit to another owner.
func (h *Holder) releasedAfter(sequence Sequence, id fleet.ServerID) bool {
	if _, pending := h.unconfirmedReleases[id]; pending {
		return true
	}
	return slices.ContainsFunc(h.sentReports, func(r sentReport) bool {
		return r.sequence > sequence && slices.Contains(r.released, id)
	})
}

// HolderView is an immutable copy of the permits that an owner holds.
type HolderView struct {
	permits []Permit
}

// View returns an immutable copy of the permits.
func (h *Holder) View() HolderView {
	return HolderView{permits: sortedPermits(h.permits)}
}

// HasPermit reports whether the owner may eject the server at the given time.
func (v HolderView) HasPermit(id fleet.ServerID, now time.Time) bool {
	expires, found := PermitExpiry(v.permits, id)
	return found && now.Before(expires)
}

// PermitExpiry returns the expiry time of the permit of a server, and false if
// there is none. The permits must be in order of server.
func PermitExpiry(permits []Permit, id fleet.ServerID) (time.Time, bool) {
	i, found := slices.BinarySearchFunc(permits, id, func(p Permit, id fleet.ServerID) int {
		return cmp.Compare(p.Server, id)
	})
	if !found {
		return time.Time{}, false
	}
	return permits[i].Expires, true
}

// Permits returns the permits in order of server.
func (v HolderView) Permits() []Permit { return slices.Clone(v.permits) }

// sortedPermits returns permits in order of server.
func sortedPermits(permits map[fleet.ServerID]Permit) []Permit {
	return slices.SortedFunc(maps.Values(permits), func(a, b Permit) int {
		return cmp.Compare(a.Server, b.Server)
	})
}

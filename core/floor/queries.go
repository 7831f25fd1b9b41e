package floor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// usable returns the sum over the reports that are still valid.
func (s *Steward) usable() fleet.Servers {
	sum := fleet.Servers(0)
	for _, o := range s.owners {
		sum += o.usable
	}
	return sum
}

// entitled returns the worst servers that are wished for, as many as the
// budget allows.
func (s *Steward) entitled(budget fleet.Servers) map[fleet.ServerID]bool {
	worst := make(map[fleet.ServerID]float64)
	for _, o := range s.owners {
		for _, wish := range o.wishes {
			badness := wish.Severity
			if _, held := s.permits[wish.Server]; held {
				badness *= incumbency
			}
			worst[wish.Server] = max(worst[wish.Server], badness)
		}
	}
	ranked := make([]EjectionRequest, 0, len(worst))
	for id, badness := range worst {
		ranked = append(ranked, EjectionRequest{Server: id, Severity: badness})
	}
	rankWishes(ranked)
	count := min(max(int(budget), 0), len(ranked))
	entitled := make(map[fleet.ServerID]bool, count)
	for _, wish := range ranked[:count] {
		entitled[wish.Server] = true
	}
	return entitled
}

// median returns the median of the medians that owners reported; zero if
// there are none.
func (s *Steward) median() time.Duration {
	medians := make([]time.Duration, 0, len(s.owners))
	for _, o := range s.owners {
		if o.median > 0 {
			medians = append(medians, o.median)
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
	// Usable is the sum over reports that are still valid.
	Usable fleet.Servers
	// Permits lists outstanding permits in order of server.
	Permits []Permit
	// GrantsFrom is when the steward may grant at the earliest; zero if it is none.
	GrantsFrom time.Time
}

// Permit allows an owner to eject a server until it expires.
type Permit struct {
	Server   fleet.ServerID
	Owner    fleet.Member
	Severity float64
	Expires  time.Time
}

// View returns an immutable copy for operators.
func (s *Steward) View() StewardView {
	return StewardView{
		Floor:      s.floor,
		Usable:     s.usable(),
		Permits:    sortedPermits(s.permits),
		GrantsFrom: s.grants,
	}
}

// EjectionsAllowed returns how many more servers may be ejected.
func (v StewardView) EjectionsAllowed() fleet.Servers {
	return max(v.Usable-v.Floor-fleet.Servers(len(v.Permits)), 0)
}

// settled returns how many servers are usable and owned for long enough.
func (h *Holder) settled(now time.Time) fleet.Servers {
	count := fleet.Servers(0)
	for _, since := range h.usableSince {
		if now.Sub(since) >= MinOwnedTime {
			count++
		}
	}
	return count
}

// releasedAfter reports whether a later report, or the next one, gives back
// the permit for a server. A grant for the earlier report is void then, as
// the steward may already have given the permit to another owner.
func (h *Holder) releasedAfter(sequence Sequence, id fleet.ServerID) bool {
	if _, pending := h.releases[id]; pending {
		return true
	}
	return slices.ContainsFunc(h.sent, func(r sentReport) bool {
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

// HasPermit reports whether the owner may eject the server at this time.
func (v HolderView) HasPermit(id fleet.ServerID, now time.Time) bool {
	expires, found := PermitExpiry(v.permits, id)
	return found && now.Before(expires)
}

// PermitExpiry returns the end of the permit of a server, and false if there is
// none. The permits are in order of server.
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

package floor

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

const (
	// PermitTTL is the lifetime of a permit and of a report.
	PermitTTL = 3 * time.Second
	// ownerTTL is how long the sequence of an owner is kept after its latest
	// report, longer than a report can be in transit.
	ownerTTL = time.Minute
	// heldPermitFactor multiplies the severity of servers under a permit, so that
	// permits do not move between servers because of small differences.
	heldPermitFactor = 1.5
)

// Sequence is the number of a report of one owner; it increases with each
// report.
type Sequence uint64

// EjectionRequest requests the permit to eject a server, or its renewal.
type EjectionRequest struct {
	Server fleet.ServerID
	// Severity orders requests: servers with the highest severity are ejected
	// first.
	Severity float64
}

// Report is the message of an owner to the steward. The owner sends it each
// second, and at once when its ejection requests change.
type Report struct {
	Owner    fleet.Member
	Sequence Sequence
	// Usable is the number of the owner's servers that accept connections and are
	// not draining, including ejected servers.
	Usable fleet.Servers
	// Requests holds a request for each server that the owner ejects or wants to
	// eject.
	Requests []EjectionRequest
	// Released lists servers that the owner no longer ejects.
	Released []fleet.ServerID
	// MedianLatency is the owner's recent median latency; zero if not known.
	MedianLatency time.Duration
}

// Reply is the steward's reply to a report, also if it grants nothing.
type Reply struct {
	// Sequence is the sequence of the report.
	Sequence Sequence
	// Decided is false if the requests were not decided: the receiver is not the
	// steward, has no lease, waits until the permits of the previous steward have
	// expired, or received a newer report before.
	Decided bool
	// Granted lists the servers whose ejection is permitted for PermitTTL. The
	// owner counts this time from the sending of the report.
	Granted []fleet.ServerID
	// MedianLatency is the service's recent median latency; zero if not known.
	MedianLatency time.Duration
}

// Steward grants the ejection permits of one service. It runs on the instance
// that owns the service's floor resource; only the control goroutine may use it.
type Steward struct {
	// floor is the least number of usable servers that are not ejected.
	floor      fleet.Servers
	active     bool
	leaseUntil time.Time
	grantsFrom time.Time
	owners     map[fleet.Member]*owner
	permits    map[fleet.ServerID]Permit
}

// owner holds the latest report of one owner.
type owner struct {
	sequence      Sequence
	receivedAt    time.Time
	usable        fleet.Servers
	requests      []EjectionRequest
	medianLatency time.Duration
}

// NewSteward returns an inactive steward, which grants nothing before Activate.
func NewSteward(floor fleet.Servers) *Steward {
	return &Steward{
		floor:   floor,
		owners:  make(map[fleet.Member]*owner),
		permits: make(map[fleet.ServerID]Permit),
	}
}

// Activate makes the steward active, without reports and permits. It grants
// nothing for one PermitTTL from now, as permits of the previous steward may be
// valid for so long.
func (s *Steward) Activate(now time.Time) {
	if s.active {
		return
	}
	s.active = true
	s.grantsFrom = now.Add(PermitTTL)
	clear(s.owners)
	clear(s.permits)
}

// Deactivate makes the steward inactive, so that it grants nothing.
func (s *Steward) Deactivate() {
	s.active = false
	s.grantsFrom = time.Time{}
}

// ExtendLease sets the end of the steward's lease, after which the steward grants
// nothing. The lease ends before another instance can become the steward.
func (s *Steward) ExtendLease(until time.Time) { s.leaseUntil = until }

// SetFloor changes the floor; permits that were granted stay valid.
func (s *Steward) SetFloor(floor fleet.Servers) { s.floor = floor }

// HandleReport stores a report and grants the requested permits that the floor
// allows. now must be the current time and not the time of receipt, as an
// instance that was paused in between may have lost its lease.
func (s *Steward) HandleReport(now time.Time, report Report) Reply {
	reply := Reply{Sequence: report.Sequence}
	if !s.active || !now.Before(s.leaseUntil) {
		return reply
	}
	s.Expire(now)
	if !s.storeReport(now, &report) {
		return reply
	}
	reply.MedianLatency = s.medianLatency()
	if now.Before(s.grantsFrom) {
		return reply
	}
	reply.Decided = true
	reply.Granted = s.grantPermits(now, &report)
	return reply
}

// storeReport stores a report and returns true if it is newer than the stored
// report of its owner. An older report is ignored, as its releases could free a
// permit in use.
func (s *Steward) storeReport(now time.Time, report *Report) bool {
	known, found := s.owners[report.Owner]
	if found && report.Sequence <= known.sequence {
		return false
	}
	s.owners[report.Owner] = &owner{
		sequence:      report.Sequence,
		receivedAt:    now,
		usable:        report.Usable,
		requests:      slices.Clone(report.Requests),
		medianLatency: report.MedianLatency,
	}
	for _, id := range report.Released {
		if s.permits[id].Owner == report.Owner {
			delete(s.permits, id)
		}
	}
	return true
}

// grantPermits grants or renews the permits that a report requests, within the
// budget, and returns their servers.
func (s *Steward) grantPermits(now time.Time, report *Report) []fleet.ServerID {
	budget := s.usableServers() - s.floor
	entitled := s.entitledServers(budget)
	var granted []fleet.ServerID
	for _, request := range report.Requests {
		if !entitled[request.Server] {
			continue
		}
		_, held := s.permits[request.Server]
		if !held && fleet.Servers(len(s.permits)) >= budget {
			continue
		}
		s.permits[request.Server] = Permit{
			Server:   request.Server,
			Owner:    report.Owner,
			Severity: request.Severity,
			Expires:  now.Add(PermitTTL),
		}
		granted = append(granted, request.Server)
	}
	return granted
}

// Expire removes expired reports and permits, and returns the servers whose
// permits expired. The sequence of an owner is kept for ownerTTL.
func (s *Steward) Expire(now time.Time) []fleet.ServerID {
	for member, o := range s.owners {
		if now.Sub(o.receivedAt) >= ownerTTL {
			delete(s.owners, member)
		} else if now.Sub(o.receivedAt) >= PermitTTL {
			o.usable, o.requests, o.medianLatency = 0, nil, 0
		}
	}
	var expired []fleet.ServerID
	for id, permit := range s.permits {
		if !now.Before(permit.Expires) {
			delete(s.permits, id)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// sortBySeverity sorts requests by descending severity.
func sortBySeverity(requests []EjectionRequest) {
	slices.SortFunc(requests, func(a, b EjectionRequest) int {
		if c := cmp.Compare(b.Severity, a.Severity); c != 0 {
			return c
		}
		return cmp.Compare(a.Server, b.Server)
	})
}

package floor

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

const (
	// PermitTTL is how long a permit and a report are valid.
	PermitTTL = 3 * time.Second
	// ownerLife is how long the sequence of a silent owner is remembered, longer
	// than a report can be on its way.
	ownerLife = time.Minute
	// incumbency multiplies the badness of a server that holds a permit, so
	// that permits do not change hands over small differences.
	incumbency = 1.5
)

// Sequence numbers the reports of one owner; a later report has a higher one.
type Sequence uint64

// EjectionRequest asks for the permit to eject a server, or to keep ejecting it.
type EjectionRequest struct {
	Server fleet.ServerID
	// Severity orders wishes; the worst servers are ejected first.
	Severity float64
}

// Report is what an owner tells the steward each second, and at once when it
// has a new wish.
type Report struct {
	Owner    fleet.Member
	Sequence Sequence
	// Usable counts the sender's servers that accept connections and do not
	// leave, ejected ones included.
	Usable fleet.Servers
	// Requests lists all servers that the sender ejects or wants to eject.
	Requests []EjectionRequest
	// Released lists servers that the sender no longer ejects.
	Released []fleet.ServerID
	// MedianLatency is the sender's recent median latency; zero if not known.
	MedianLatency time.Duration
}

// Reply is the steward's answer to a report.
type Reply struct {
	// Sequence is that of the report.
	Sequence Sequence
	// Decided is false while the receiver may grant nothing: it is not the
	// steward, has no lease, or waits for the permits of the one before.
	Decided bool
	// Granted lists the wishes that are granted for Life, counted by the owner
	// from the sending of the report.
	Granted []fleet.ServerID
	// MedianLatency is the service's recent median latency; zero if not known.
	MedianLatency time.Duration
}

// Steward grants the ejection permits of one service. It belongs to the
// control goroutine of the owner of the service's floor resource.
type Steward struct {
	floor   fleet.Servers
	active  bool
	lease   time.Time
	grants  time.Time
	owners  map[fleet.Member]*owner
	permits map[fleet.ServerID]Permit
}

// owner is what the steward knows of one owner.
type owner struct {
	sequence Sequence
	at       time.Time
	usable   fleet.Servers
	wishes   []EjectionRequest
	median   time.Duration
}

// NewSteward returns a steward that grants nothing before Become.
func NewSteward(floor fleet.Servers) *Steward {
	return &Steward{
		floor:   floor,
		owners:  make(map[fleet.Member]*owner),
		permits: make(map[fleet.ServerID]Permit),
	}
}

// Activate starts the stewardship; nothing is granted for one Life from now, as
// the permits of the steward before may last as long.
func (s *Steward) Activate(now time.Time) {
	if s.active {
		return
	}
	s.active = true
	s.grants = now.Add(PermitTTL)
	clear(s.owners)
	clear(s.permits)
}

// Deactivate ends the stewardship.
func (s *Steward) Deactivate() {
	s.active = false
	s.grants = time.Time{}
}

// ExtendLease records until when the steward's lease is valid. The lease ends
// before another instance can become the steward.
func (s *Steward) ExtendLease(lease time.Time) { s.lease = lease }

// SetFloor takes a changed floor from the configuration.
func (s *Steward) SetFloor(floor fleet.Servers) { s.floor = floor }

// HandleReport takes a report and grants what the floor allows. It must be called
// with the time at which it runs, not that at which the report came: an
// instance that was paused in between may have lost its lease.
func (s *Steward) HandleReport(now time.Time, report Report) Reply {
	reply := Reply{Sequence: report.Sequence}
	if !s.active || !now.Before(s.lease) {
		return reply
	}
	s.Expire(now)
	if !s.store(now, &report) {
		return reply
	}
	reply.MedianLatency = s.median()
	if now.Before(s.grants) {
		return reply
	}
	reply.Decided = true
	reply.Granted = s.grant(now, &report)
	return reply
}

// store keeps a report, and tells whether it is newer than the one before.
// An older one must not undo it: its release would free a permit in use.
func (s *Steward) store(now time.Time, report *Report) bool {
	known, found := s.owners[report.Owner]
	if found && report.Sequence <= known.sequence {
		return false
	}
	s.owners[report.Owner] = &owner{
		sequence: report.Sequence,
		at:       now,
		usable:   report.Usable,
		wishes:   slices.Clone(report.Requests),
		median:   report.MedianLatency,
	}
	for _, id := range report.Released {
		if s.permits[id].Owner == report.Owner {
			delete(s.permits, id)
		}
	}
	return true
}

// grant renews or gives the permits that a report wishes for.
func (s *Steward) grant(now time.Time, report *Report) []fleet.ServerID {
	budget := s.usable() - s.floor
	entitled := s.entitled(budget)
	var granted []fleet.ServerID
	for _, wish := range report.Requests {
		if !entitled[wish.Server] {
			continue
		}
		_, held := s.permits[wish.Server]
		if !held && fleet.Servers(len(s.permits)) >= budget {
			continue
		}
		s.permits[wish.Server] = Permit{
			Server:   wish.Server,
			Owner:    report.Owner,
			Severity: wish.Severity,
			Expires:  now.Add(PermitTTL),
		}
		granted = append(granted, wish.Server)
	}
	return granted
}

// Expire drops reports and permits whose life has passed, and returns the
// servers whose permits expired.
func (s *Steward) Expire(now time.Time) []fleet.ServerID {
	for member, o := range s.owners {
		if now.Sub(o.at) >= ownerLife {
			delete(s.owners, member)
		} else if now.Sub(o.at) >= PermitTTL {
			o.usable, o.wishes, o.median = 0, nil, 0
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

// rankWishes orders wishes from the worst server to the least bad one.
func rankWishes(wishes []EjectionRequest) {
	slices.SortFunc(wishes, func(a, b EjectionRequest) int {
		if c := cmp.Compare(b.Severity, a.Severity); c != 0 {
			return c
		}
		return cmp.Compare(a.Server, b.Server)
	})
}

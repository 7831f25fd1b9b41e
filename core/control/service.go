package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenaridge/core/admission"
	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/health"
	"galenaridge/core/ownership"
	"galenaridge/core/retry"
)

// service is the control state of one service.
type service struct {
	config  config.Service
	pool    *admission.Pool
	budget  *retry.Budget
	listed  []fleet.ListedServer
	owners  []Owner
	held    map[fleet.ServerID]*OwnedServer
	health  *health.Detector
	permits *floor.Holder
	// steward is nil unless this instance owns the floor of the service.
	steward    *floor.Steward
	conditions map[fleet.ServerID]health.Condition
	// announced holds servers that announced to the detection before the
	// present one that they leave.
	announced []fleet.ServerID
	// wanted holds the wishes that no report has carried yet.
	wishing    bool
	reportedAt time.Time
	reporting  bool
	// idle says that the last use of a server has been reported as over.
	idle      bool
	dirty     bool
	published *Service
	// republishAt is when the service is published again though no command
	// has changed it.
	republishAt time.Time
	// started counts the attempts on held servers as of the last tick.
	started uint64
}

// republishEvery bounds the age of what changes by time alone, such as latencies
// that leave their window. A publication on each tick copied all services 20
// times a second though nothing had changed.
const republishEvery = time.Second

func newService(n *node, now time.Time, configured config.Service) *service {
	return &service{
		config:     configured,
		pool:       admission.New(n.options.Clock, admission.Options{}),
		budget:     retry.NewBudget(retry.Options{}),
		held:       map[fleet.ServerID]*OwnedServer{},
		health:     health.NewDetector(now, healthOptions(configured)),
		permits:    floor.NewHolder(n.self),
		conditions: map[fleet.ServerID]health.Condition{},
		dirty:      true,
	}
}

func healthOptions(configured config.Service) health.Options {
	return health.Options{
		Service:     configured.Name,
		Detect:      configured.Detect,
		MaxDeadline: configured.Deadline,
	}
}

// configure takes a changed configuration of the service.
func (s *service) configure(now time.Time, configured config.Service) {
	if s.config.Detect != configured.Detect || s.config.Deadline != configured.Deadline {
		s.health = health.NewDetector(now, healthOptions(configured))
		s.announced = s.withCondition(health.Draining)
	}
	s.config = configured
	if s.steward != nil {
		s.steward.SetFloor(configured.Floor)
	}
	s.updatePool()
}

// withCondition returns the servers in a condition.
func (s *service) withCondition(condition health.Condition) []fleet.ServerID {
	var found []fleet.ServerID
	for id, c := range s.conditions {
		if c == condition {
			found = append(found, id)
		}
	}
	return found
}

// rejoin starts the permits anew, because they belong to an incarnation.
func (s *service) rejoin(self fleet.Member) {
	s.permits = floor.NewHolder(self)
	s.dirty = true
}

// setListed takes the servers that the platform lists for the service.
func (s *service) setListed(now time.Time, listed []fleet.ListedServer) {
	s.listed = listed
	for _, entry := range listed {
		owned, held := s.held[entry.ID]
		if !held {
			continue
		}
		if entry.Presence == fleet.Live && owned.Listed.Presence == fleet.Leaving {
			s.health.ClearDraining(now, entry.ID)
		}
		if entry.Presence == fleet.Leaving {
			s.health.MarkDraining(now, entry.ID)
		}
		s.held[entry.ID] = &OwnedServer{Listed: entry, Counters: owned.Counters}
	}
	s.updatePool()
}

// acquire starts to use a server.
func (s *service) acquire(now time.Time, listed fleet.ListedServer) {
	s.pool.Resume(listed.ID)
	s.held[listed.ID] = &OwnedServer{Listed: listed, Counters: health.NewCounters(now)}
	s.updatePool()
}

// drop ends the use of a server. The steward is told at once, because permits
// for it are outstanding until then.
func (s *service) drop(server fleet.ServerID) {
	s.wishing = true
	delete(s.held, server)
	delete(s.conditions, server)
	s.updatePool()
}

// tick runs the detection and the exchange with the steward.
func (s *service) tick(n *node, now time.Time) {
	if s.unused() && now.Before(s.republishAt) {
		return
	}
	s.pool.Expire(now)
	if s.steward != nil {
		s.steward.ExtendLease(n.members.View().LeaseUntil())
		if len(s.steward.Expire(now)) > 0 {
			s.dirty = true
		}
	}
	if !now.Before(s.republishAt) {
		s.republishAt = now.Add(republishEvery)
		s.dirty = s.dirty || !s.unused()
	}
	if len(s.held) == 0 && s.idle {
		return
	}
	s.idle = len(s.held) == 0 && !s.reporting
	readings := s.readings(now)
	n.runHealth(now, s, s.health.Observe(now, readings, s.taking()))
	s.drainLeaving(n, now)
	n.applyPermits(now, s, s.permits.Expire(now))
	if n.lease && !s.reporting && (s.wishing || now.Sub(s.reportedAt) >= reportEvery) {
		n.report(now, s)
	}
	s.noteConditions(n)
}

// unused reports whether this instance neither owns servers of the service nor
// is its steward. Most of 210 services are unused on each of 400 instances, so
// they are looked at once a second only.
func (s *service) unused() bool {
	return len(s.held) == 0 && s.idle && s.steward == nil
}

// drainLeaving tells the detection which servers leave. It knows a server only
// after the first reading.
func (s *service) drainLeaving(n *node, now time.Time) {
	for id, owned := range s.held {
		if owned.Listed.Presence == fleet.Leaving {
			n.runHealth(now, s, s.health.MarkDraining(now, id))
		}
	}
	for _, id := range s.announced {
		n.runHealth(now, s, s.health.MarkDraining(now, id))
	}
	s.announced = nil
}

// readings returns the counters of the held servers in order of id, and notes
// whether any of them has work.
func (s *service) readings(now time.Time) []health.Reading {
	readings := make([]health.Reading, 0, len(s.held))
	started, inFlight := uint64(0), 0
	for id, owned := range s.held {
		snapshot := owned.Counters.Snapshot(now)
		started += snapshot.Started
		inFlight += snapshot.InFlight
		readings = append(readings, health.Reading{Server: id, Snapshot: snapshot})
	}
	if started != s.started || inFlight > 0 {
		s.started = started
		s.dirty = true
	}
	slices.SortFunc(readings, func(a, b health.Reading) int { return cmp.Compare(a.Server, b.Server) })
	return readings
}

// taking counts the servers of the service that take work, as far as known
// here.
func (s *service) taking() fleet.Servers {
	count := fleet.Servers(0)
	for _, entry := range s.listed {
		switch s.conditions[entry.ID] {
		case health.Ejected, health.Dead, health.Draining:
			continue
		default:
		}
		if entry.Presence == fleet.Live {
			count++
		}
	}
	return count
}

// noteConditions reports changed conditions and updates the pool.
func (s *service) noteConditions(n *node) {
	changed := false
	for _, status := range s.health.View().All() {
		if status.Condition != health.Healthy {
			// Its badness and its permit change without a change of condition.
			s.dirty = true
		}
		before := s.conditions[status.Server]
		if before == status.Condition {
			continue
		}
		changed = true
		s.conditions[status.Server] = status.Condition
		n.options.Events.ConditionChanged(ConditionChange{Service: s.config.Name, Before: before, After: status})
	}
	if changed {
		s.updatePool()
	}
}

// updatePool tells the pool which servers may be used, and how.
func (s *service) updatePool() {
	servers := make([]admission.ServerSlots, 0, len(s.held))
	permits := s.permits.View().Permits()
	for _, id := range slices.Sorted(maps.Keys(s.held)) {
		servers = append(servers, admission.ServerSlots{
			Server:   id,
			Slots:    s.config.Slots,
			Use:      useOf(s.held[id].Listed, s.conditions[id]),
			UseUntil: ejectedUntil(permits, id, s.conditions[id]),
		})
	}
	s.pool.SetServers(servers)
	s.dirty = true
}

// ejectedUntil returns the end of the permit of an ejected server; zero if the
// server is not ejected.
func ejectedUntil(permits []floor.Permit, id fleet.ServerID, condition health.Condition) time.Time {
	if condition != health.Ejected && condition != health.Trial {
		return time.Time{}
	}
	expires, _ := floor.PermitExpiry(permits, id)
	return expires
}

// useOf says how a server in a condition may be used.
func useOf(listed fleet.ListedServer, condition health.Condition) admission.Use {
	if listed.Presence == fleet.Leaving {
		return admission.None
	}
	switch condition {
	case health.Healthy:
		return admission.Normal
	case health.Suspect:
		return admission.LastResort
	case health.Trial:
		return admission.Trial
	default:
		return admission.None
	}
}

// refreshOwners recomputes which instances are expected to own servers of the
// service.
func (s *service) refreshOwners(view ownership.View) {
	byID := make(map[fleet.InstanceID]*Owner)
	for _, entry := range s.listed {
		if entry.Presence == fleet.Leaving {
			continue
		}
		record, known := view.ExpectedOwner(fleet.ServerResource(entry.ID))
		if !known {
			continue
		}
		if owner, seen := byID[record.Member.ID]; seen {
			owner.ServerCount++
			continue
		}
		byID[record.Member.ID] = &Owner{
			Member:        record.Member,
			Domain:        record.Domain,
			PeerAddress:   record.PeerAddress,
			CallerAddress: record.CallerAddress,
			ServerCount:   1,
		}
	}
	s.owners = make([]Owner, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		s.owners = append(s.owners, *byID[id])
	}
	s.dirty = true
}

// publish returns an immutable copy, the same one while nothing changed.
func (s *service) publish() *Service {
	if !s.dirty && s.published != nil {
		return s.published
	}
	s.dirty = false
	s.published = &Service{
		Config:       s.config,
		Pool:         s.pool,
		Budget:       s.budget,
		OwnedServers: maps.Clone(s.held),
		Owners:       s.owners,
		Health:       s.health.View(),
		Permits:      s.permits.View(),
	}
	if s.steward != nil {
		view := s.steward.View()
		s.published.Steward = &view
	}
	return s.published
}

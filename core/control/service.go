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
	config        config.Service
	pool          *admission.Pool
	budget        *retry.Budget
	listedServers []fleet.ListedServer
	owners        []Owner
	ownedServers  map[fleet.ServerID]*OwnedServer
	detector      *health.Detector
	permitHolder  *floor.Holder
	// steward is nil unless this instance owns the floor of the service.
	steward    *floor.Steward
	conditions map[fleet.ServerID]health.Condition
	// announcedLeaving holds servers that announced their draining to the previous
	// detector, until the current one has been updated.
	announcedLeaving []fleet.ServerID
	// reportDue means that the next report to the steward must not wait for
	// reportInterval.
	reportDue      bool
	reportedAt     time.Time
	reportInFlight bool
	// releaseReported means that this instance owns no servers of the service, and
	// that the steward needs no further report about that.
	releaseReported bool
	dirty           bool
	published       *Service
	// republishAt is when the service is published again even if no command has
	// changed it.
	republishAt time.Time
	// startedAttempts is the number of attempts on owned servers at the latest
	// tick with changes.
	startedAttempts uint64
}

// republishInterval bounds the age of values that change by the passage of time,
// such as latencies that leave their window. Publishing on each tick would copy all
// services 20 times a second without any change.
const republishInterval = time.Second

func newService(n *node, now time.Time, configured config.Service) *service {
	return &service{
		config:       configured,
		pool:         admission.New(n.options.Clock, admission.Options{}),
		budget:       retry.NewBudget(retry.Options{}),
		ownedServers: map[fleet.ServerID]*OwnedServer{},
		detector:     health.NewDetector(now, healthOptions(configured)),
		permitHolder: floor.NewHolder(n.self),
		conditions:   map[fleet.ServerID]health.Condition{},
		dirty:        true,
	}
}

func healthOptions(configured config.Service) health.Options {
	return health.Options{
		Service:     configured.Name,
		Detect:      configured.Detect,
		MaxDeadline: configured.Deadline,
	}
}

// configure applies a configuration of the service. It replaces the detector if
// the detection preference or the deadline changed.
func (s *service) configure(now time.Time, configured config.Service) {
	if s.config.Detect != configured.Detect || s.config.Deadline != configured.Deadline {
		s.detector = health.NewDetector(now, healthOptions(configured))
		s.announcedLeaving = s.serversInCondition(health.Draining)
	}
	s.config = configured
	if s.steward != nil {
		s.steward.SetFloor(configured.Floor)
	}
	s.updatePool()
}

func (s *service) serversInCondition(condition health.Condition) []fleet.ServerID {
	var found []fleet.ServerID
	for id, c := range s.conditions {
		if c == condition {
			found = append(found, id)
		}
	}
	return found
}

// resetPermits replaces the permit holder after a rejoin, because permits belong
// to an incarnation.
func (s *service) resetPermits(self fleet.Member) {
	s.permitHolder = floor.NewHolder(self)
	s.dirty = true
}

// setListedServers applies the servers that the platform lists for the service.
func (s *service) setListedServers(now time.Time, listed []fleet.ListedServer) {
	s.listedServers = listed
	for _, entry := range listed {
		owned, held := s.ownedServers[entry.ID]
		if !held {
			continue
		}
		if entry.Presence == fleet.Live && owned.Listed.Presence == fleet.Leaving {
			s.detector.ClearDraining(now, entry.ID)
		}
		if entry.Presence == fleet.Leaving {
			s.detector.MarkDraining(now, entry.ID)
		}
		s.ownedServers[entry.ID] = &OwnedServer{Listed: entry, Counters: owned.Counters}
	}
	s.updatePool()
}

// addServer starts the use of a server that this instance owns.
func (s *service) addServer(now time.Time, listed fleet.ListedServer) {
	s.pool.Resume(listed.ID)
	s.ownedServers[listed.ID] = &OwnedServer{Listed: listed, Counters: health.NewCounters(now)}
	s.updatePool()
}

// removeServer ends the use of a server. A report to the steward is due
// immediately, because permits for the server are outstanding until then.
func (s *service) removeServer(server fleet.ServerID) {
	s.reportDue = true
	delete(s.ownedServers, server)
	delete(s.conditions, server)
	s.updatePool()
}

// tick runs the failure detection, the reports to the steward and, if this
// instance is the steward, the expiry of permits.
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
		s.republishAt = now.Add(republishInterval)
		s.dirty = s.dirty || !s.unused()
	}
	if len(s.ownedServers) == 0 && s.releaseReported {
		return
	}
	s.releaseReported = len(s.ownedServers) == 0 && !s.reportInFlight
	readings := s.collectReadings(now)
	n.applyHealthEffects(now, s, s.detector.Observe(now, readings, s.acceptingServers()))
	s.markLeavingServers(n, now)
	n.applyPermitChanges(now, s, s.permitHolder.Expire(now))
	if n.hasLease && !s.reportInFlight && (s.reportDue || now.Sub(s.reportedAt) >= reportInterval) {
		n.sendReport(now, s)
	}
	s.updateConditions(n)
}

// unused reports whether this instance neither owns servers of the service nor is
// its steward. In a fleet of 400 instances with 210 services, most services are
// unused on each instance; tick processes them only once per second.
func (s *service) unused() bool {
	return len(s.ownedServers) == 0 && s.releaseReported && s.steward == nil
}

// markLeavingServers reports leaving servers to the detector. It runs after the
// readings, because the detector knows a server only from its first reading.
func (s *service) markLeavingServers(n *node, now time.Time) {
	for id, owned := range s.ownedServers {
		if owned.Listed.Presence == fleet.Leaving {
			n.applyHealthEffects(now, s, s.detector.MarkDraining(now, id))
		}
	}
	for _, id := range s.announcedLeaving {
		n.applyHealthEffects(now, s, s.detector.MarkDraining(now, id))
	}
	s.announcedLeaving = nil
}

// collectReadings returns the counters of the owned servers, ordered by id. It
// marks the service as changed if any server has requests.
func (s *service) collectReadings(now time.Time) []health.Reading {
	readings := make([]health.Reading, 0, len(s.ownedServers))
	started, inFlight := uint64(0), 0
	for id, owned := range s.ownedServers {
		snapshot := owned.Counters.Snapshot(now)
		started += snapshot.Started
		inFlight += snapshot.InFlight
		readings = append(readings, health.Reading{Server: id, Snapshot: snapshot})
	}
	if started != s.startedAttempts || inFlight > 0 {
		s.startedAttempts = started
		s.dirty = true
	}
	slices.SortFunc(readings, func(a, b health.Reading) int { return cmp.Compare(a.Server, b.Server) })
	return readings
}

// acceptingServers returns the number of servers of the service that accept new
// requests, as far as known here.
func (s *service) acceptingServers() fleet.Servers {
	count := fleet.Servers(0)
	for _, entry := range s.listedServers {
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

// updateConditions reports changed conditions to Options.Events and updates the
// pool.
func (s *service) updateConditions(n *node) {
	changed := false
	for _, status := range s.detector.View().All() {
		if status.Condition != health.Healthy {
			// The severity and the permit can change while the condition stays the
			// same.
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

// updatePool updates the pool with the owned servers and their allowed use.
func (s *service) updatePool() {
	servers := make([]admission.ServerSlots, 0, len(s.ownedServers))
	permits := s.permitHolder.View().Permits()
	for _, id := range slices.Sorted(maps.Keys(s.ownedServers)) {
		servers = append(servers, admission.ServerSlots{
			Server:   id,
			Slots:    s.config.Slots,
			Use:      allowedUse(s.ownedServers[id].Listed, s.conditions[id]),
			UseUntil: ejectedUntil(permits, id, s.conditions[id]),
		})
	}
	s.pool.SetServers(servers)
	s.dirty = true
}

// ejectedUntil returns the expiry of the permit of an ejected server or one in
// trial, and the zero time for other servers.
func ejectedUntil(permits []floor.Permit, id fleet.ServerID, condition health.Condition) time.Time {
	if condition != health.Ejected && condition != health.Trial {
		return time.Time{}
	}
	expires, _ := floor.PermitExpiry(permits, id)
	return expires
}

// allowedUse returns the use of a server that its condition allows.
func allowedUse(listed fleet.ListedServer, condition health.Condition) admission.Use {
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
	for _, entry := range s.listedServers {
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

// publish returns an immutable copy of the service. It returns the previous copy
// if nothing changed.
func (s *service) publish() *Service {
	if !s.dirty && s.published != nil {
		return s.published
	}
	s.dirty = false
	s.published = &Service{
		Config:       s.config,
		Pool:         s.pool,
		Budget:       s.budget,
		OwnedServers: maps.Clone(s.ownedServers),
		Owners:       s.owners,
		Health:       s.detector.View(),
		Permits:      s.permitHolder.View(),
	}
	if s.steward != nil {
		view := s.steward.View()
		s.published.Steward = &view
	}
	return s.published
}

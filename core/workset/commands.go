package workset

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Options configures a State.
type Options struct {
	Self Heartbeat
	// Start is when the process started.
	Start time.Time
	// Seeds are the peer addresses from which contacts are requested first.
	Seeds []fleet.Address
}

// State holds the last heartbeat of each peer and the working set computed from
// them. One goroutine owns it.
type State struct {
	options Options
	self    Heartbeat
	peers   map[fleet.InstanceID]*peer
	view    *View
	// The last heartbeats were sent to the peers of the own failure domain at
	// localSentAt, to the peers in use of other failure domains at remoteSentAt,
	// and to the idle peers there at remoteIdleSentAt. This instance last
	// requested contacts at announcedAt.
	localSentAt      time.Time
	announcedAt      time.Time
	remoteSentAt     time.Time
	remoteIdleSentAt time.Time
	// copyConfirmedAt, configConfirmedAt, readAt and outageSeenAt are those of the last LocalStatus.
	copyConfirmedAt   time.Time
	configConfirmedAt time.Time
	readAt            time.Time
	outageSeenAt      time.Time
	// contactAt is when an instance joined while no other one was live; zero if none did yet.
	contactAt time.Time
	// seedsNameOthers is set if the latest seeds name another instance.
	seedsNameOthers bool
}

// New returns a state that knows only this instance.
func New(options Options) *State {
	s := &State{options: options, self: options.Self, peers: make(map[fleet.InstanceID]*peer)}
	s.seedsNameOthers = s.nameOthers(options.Seeds)
	s.view = &View{fleetUnknown: s.seedsNameOthers}
	return s
}

// nameOthers reports whether seeds name another instance than this one.
func (s *State) nameOthers(seeds []fleet.Address) bool {
	return slices.ContainsFunc(seeds, func(a fleet.Address) bool { return a != s.self.PeerAddress })
}

// LocalStatus is the part of the own heartbeat that changes while the process runs.
// Its fields have the same meaning as in Heartbeat, with times in place of ages, which are
// computed when a heartbeat is sent.
type LocalStatus struct {
	Leaving          bool
	Ready            bool
	Slow             bool
	StoreUnreachable bool
	RequestRate      float64
	Version          fleet.Version
	Position         fleet.Position
	// CopyConfirmedAt and ConfigConfirmedAt are zero if there is nothing to confirm.
	CopyConfirmedAt   time.Time
	ConfigConfirmedAt time.Time
	ReadsStore        bool
	ReadAt            time.Time
	// OutageSeenAt is zero unless the instance calls the store often and its calls fail.
	OutageSeenAt time.Time
}

// SetLocalStatus sets the status of this instance. It reports whether a heartbeat
// should be sent at once.
func (s *State) SetLocalStatus(c LocalStatus) bool {
	urgent := c.Leaving != s.self.Leaving || c.Ready != s.self.Ready || c.Slow != s.self.Slow || c.StoreUnreachable != s.self.StoreUnreachable
	urgent = urgent || c.ReadsStore != s.self.ReadsStore || !c.OutageSeenAt.Equal(s.outageSeenAt)
	urgent = urgent || (s.view.role == Active || c.ReadsStore) && (c.Position != s.self.Position || c.Version != s.self.Version)
	s.self.Leaving, s.self.Ready, s.self.Slow = c.Leaving, c.Ready, c.Slow
	s.self.StoreUnreachable = c.StoreUnreachable
	s.self.RequestRate, s.self.Version, s.self.Position = c.RequestRate, c.Version, c.Position
	s.self.ReadsStore = c.ReadsStore
	s.outageSeenAt = c.OutageSeenAt
	s.copyConfirmedAt, s.configConfirmedAt, s.readAt = c.CopyConfirmedAt, c.ConfigConfirmedAt, c.ReadAt
	return urgent
}

// heartbeat returns the own heartbeat with the ages as of now.
func (s *State) heartbeat(now time.Time) Heartbeat {
	heartbeat := s.self
	heartbeat.Uptime = now.Sub(s.options.Start)
	heartbeat.Active = s.view.role == Active
	heartbeat.CopyAge, heartbeat.ConfigAge = ageOf(now, s.copyConfirmedAt), ageOf(now, s.configConfirmedAt)
	if heartbeat.ReadsStore {
		heartbeat.ReadAge = now.Sub(s.readAt)
	}
	if !s.outageSeenAt.IsZero() {
		heartbeat.OutageAge = max(now.Sub(s.outageSeenAt), 1)
	}
	return heartbeat
}

// ageOf returns the time since a confirmation, unknownAge if there was none.
func ageOf(now, confirmedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(confirmedAt)
}

// HandleHeartbeat records a heartbeat. It returns the peer address of the sender if
// the sender requests contacts, and whether the sender was unknown or not live
// before.
func (s *State) HandleHeartbeat(now time.Time, heartbeat Heartbeat) (replyTo fleet.Address, joined bool) {
	if heartbeat.Member.ID == s.self.Member.ID {
		return "", false
	}
	known, found := s.peers[heartbeat.Member.ID]
	if found && known.heartbeat.Member.Incarnation != heartbeat.Member.Incarnation && heartbeat.Uptime > known.heartbeat.Uptime+now.Sub(known.lastSeenAt)+time.Second {
		// This is a delayed datagram of an earlier process of the sender.
		return "", false
	}
	joined = !found || !known.live(now)
	if joined && s.view.livePeers == 0 {
		s.contactAt = now
	}
	for _, contact := range heartbeat.Contacts {
		s.addContact(contact)
	}
	heartbeat.Contacts = nil
	next := &peer{heartbeat: heartbeat, lastSeenAt: now}
	if found && known.heartbeat.Member == heartbeat.Member {
		next.reportedAt = known.reportedAt
	}
	s.peers[heartbeat.Member.ID] = next
	if heartbeat.RequestsContacts {
		replyTo = heartbeat.PeerAddress
	}
	return replyTo, joined
}

// RecordReport records that a report of another instance arrived; reports are more frequent
// than heartbeats. It returns false if the instance sent no heartbeat yet.
func (s *State) RecordReport(now time.Time, from fleet.Member) bool {
	p, found := s.peers[from.ID]
	if found && p.heartbeat.Member == from {
		p.reportedAt = now
	}
	return found
}

// addContact adds the peer address of an instance, unless it is known already.
func (s *State) addContact(address fleet.Address) {
	if address == s.self.PeerAddress || slices.Contains(s.options.Seeds, address) {
		return
	}
	for _, p := range s.peers {
		if p.heartbeat.PeerAddress == address {
			return
		}
	}
	s.options.Seeds = append(s.options.Seeds, address)
}

// UpdateView computes the working set anew and reports what changed.
func (s *State) UpdateView(now time.Time) ViewChange {
	before := s.view
	s.forgetSilentPeers(now)
	s.view = s.computeView(now)
	return ViewChange{
		RoleChanged:   before.role != s.view.role,
		ActiveChanged: !slices.Equal(before.activeAddresses(), s.view.activeAddresses()),
	}
}

// ViewChange reports how a new view differs from the previous one.
type ViewChange struct {
	// RoleChanged reports that this instance has another role.
	RoleChanged bool
	// ActiveChanged reports that the list of active instances differs.
	ActiveChanged bool
}

// forgetSilentPeers drops peers that sent no heartbeat for longer than forgetAfter.
func (s *State) forgetSilentPeers(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.lastSeenAt) > forgetAfter {
			delete(s.peers, id)
		}
	}
}

// OutgoingHeartbeat is a heartbeat with the peer addresses of its recipients.
type OutgoingHeartbeat struct {
	Heartbeat  Heartbeat
	Recipients []fleet.Address
}

// DueHeartbeats returns the heartbeats to send now. If urgent is set, it does not
// wait for the end of an interval.
//
// Traffic between failure domains is paid for by the byte, and most pairs of instances
// are in different failure domains. So only the instances in use, which are the active
// and the standby ones, send each other frequent heartbeats between failure domains.
// Between an instance in use and an idle one they are rare, and idle instances of
// different failure domains send each other none.
func (s *State) DueHeartbeats(now time.Time, urgent bool) []OutgoingHeartbeat {
	alone := s.view.livePeers == 0
	announcing := alone || now.Sub(s.options.Start) < announceTime || now.Sub(s.contactAt) < announceTime
	localInterval, remoteInterval := idleInterval, idleRemoteInterval
	inUse := s.view.role != Idle || s.self.Leaving || alone
	if inUse {
		localInterval, remoteInterval = inUseInterval, inUseRemoteInterval
	}
	if s.self.ReadsStore {
		// The copies of the other instances there depend on these heartbeats.
		localInterval = inUseInterval
	}
	var due []OutgoingHeartbeat
	send := func(sentAt *time.Time, wait, interval time.Duration, requestsContacts bool, recipients func() []fleet.Address) {
		if now.Sub(*sentAt) < wait {
			return
		}
		*sentAt = now
		heartbeat := s.heartbeat(now)
		heartbeat.Interval, heartbeat.RequestsContacts = interval, requestsContacts
		due = append(due, OutgoingHeartbeat{Heartbeat: heartbeat, Recipients: recipients()})
	}
	waitFor := func(interval time.Duration) time.Duration {
		if urgent {
			return 0
		}
		return interval
	}
	send(&s.localSentAt, waitFor(localInterval), localInterval, alone, s.localPeers)
	if announcing {
		// Announcements are extra heartbeats. They state the regular interval, since
		// the next heartbeat to the same peer is a regular one.
		interval := inUseInterval
		if s.view.fleetUnknown {
			interval = unknownFleetInterval
		}
		send(&s.announcedAt, interval, localInterval, true, s.announcementTargets)
	}
	send(&s.remoteSentAt, waitFor(remoteInterval), remoteInterval, false, func() []fleet.Address {
		if inUse || announcing {
			return s.remoteInUse()
		}
		return append(s.remoteInUse(), s.unknownContacts(maxAnnouncements)...)
	})
	if inUse {
		send(&s.remoteIdleSentAt, waitFor(toIdleRemoteInterval), toIdleRemoteInterval, false, func() []fleet.Address {
			if announcing {
				return s.remoteIdle()
			}
			return append(s.remoteIdle(), s.unknownContacts(maxContacts)...)
		})
	}
	return due
}

// localPeers returns the addresses of the peers in the own failure domain.
func (s *State) localPeers() []fleet.Address {
	return s.peersWhere(func(p *peer) bool { return p.heartbeat.Domain == s.self.Domain })
}

// remoteInUse returns the addresses of the active and standby peers in other
// failure domains.
func (s *State) remoteInUse() []fleet.Address {
	return s.peersWhere(func(p *peer) bool {
		return p.heartbeat.Domain != s.self.Domain && s.view.isInUse(p.heartbeat.Member.ID)
	})
}

// remoteIdle returns the addresses of the idle peers in other failure domains.
func (s *State) remoteIdle() []fleet.Address {
	return s.peersWhere(func(p *peer) bool {
		return p.heartbeat.Domain != s.self.Domain && !s.view.isInUse(p.heartbeat.Member.ID)
	})
}

// peersWhere returns the addresses of the peers for which include returns true.
func (s *State) peersWhere(include func(p *peer) bool) []fleet.Address {
	var addresses []fleet.Address
	for _, p := range s.peers {
		if include(p) {
			addresses = append(addresses, p.heartbeat.PeerAddress)
		}
	}
	return addresses
}

// announcementTargets returns at most maxAnnouncements addresses to request contacts
// from: contacts that have sent no heartbeat first, then any peers. Each reply lists
// many contacts, so a bounded number of requests suffices in a fleet of any size.
func (s *State) announcementTargets() []fleet.Address {
	addresses := s.unknownContacts(maxAnnouncements)
	for _, p := range s.peers {
		if len(addresses) >= maxAnnouncements {
			break
		}
		addresses = append(addresses, p.heartbeat.PeerAddress)
	}
	return addresses
}

// unknownContacts returns up to limit seeds and contacts from which no heartbeat was
// received, in random order.
func (s *State) unknownContacts(limit int) []fleet.Address {
	known := make(map[fleet.Address]bool, len(s.peers))
	for _, p := range s.peers {
		known[p.heartbeat.PeerAddress] = true
	}
	var addresses []fleet.Address
	for _, seed := range s.options.Seeds {
		if seed != s.self.PeerAddress && !known[seed] {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), limit)]
}

// ContactsReply returns the heartbeat that replies to a request for contacts. It
// lists up to maxContacts live peers.
func (s *State) ContactsReply(now time.Time) Heartbeat {
	heartbeat := s.heartbeat(now)
	heartbeat.Interval = idleInterval
	for _, p := range s.peers {
		if len(heartbeat.Contacts) >= maxContacts {
			break
		}
		if p.live(now) {
			heartbeat.Contacts = append(heartbeat.Contacts, p.heartbeat.PeerAddress)
		}
	}
	return heartbeat
}

// AddContacts adds the seeds of changed settings, from which contacts may be requested.
func (s *State) AddContacts(addresses []fleet.Address) {
	s.seedsNameOthers = s.nameOthers(addresses)
	for _, address := range addresses {
		s.addContact(address)
	}
}

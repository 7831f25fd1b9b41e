package workset

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Options set up a State.
type Options struct {
	Self  Heartbeat
	Start time.Time
	// Seeds are addresses that may know others.
	Seeds []fleet.Address
}

// State holds what is known of the instances. One goroutine owns it.
type State struct {
	options Options
	self    Heartbeat
	peers   map[fleet.InstanceID]*peer
	view    *View
	nearAt  time.Time
	greetAt time.Time
	farAt   time.Time
	restAt  time.Time
}

// New returns a state that knows only this instance.
func New(options Options) *State {
	s := &State{options: options, self: options.Self, peers: make(map[fleet.InstanceID]*peer)}
	s.view = &View{}
	return s
}

// LocalStatus is what this instance knows of itself.
type LocalStatus struct {
	Leaving          bool
	Ready            bool
	Slow             bool
	StoreUnreachable bool
	RequestRate      float64
	Version          fleet.Version
	Revision         fleet.Revision
	CopyAge          time.Duration
}

// SetLocalStatus takes what this instance knows of itself. It reports whether the
// others should be told at once.
func (s *State) SetLocalStatus(c LocalStatus) bool {
	urgent := c.Leaving != s.self.Leaving || c.Ready != s.self.Ready || c.Slow != s.self.Slow || c.StoreUnreachable != s.self.StoreUnreachable
	urgent = urgent || s.view.place == Active && c.Revision != s.self.Revision
	s.self.Leaving, s.self.Ready, s.self.Slow = c.Leaving, c.Ready, c.Slow
	s.self.StoreUnreachable = c.StoreUnreachable
	s.self.RequestRate, s.self.Version = c.RequestRate, c.Version
	s.self.Revision, s.self.CopyAge = c.Revision, c.CopyAge
	return urgent
}

// HandleHeartbeat takes a beat. It returns the address of the sender if it asks for
// contacts, and whether it was not known.
func (s *State) HandleHeartbeat(now time.Time, beat Heartbeat) (reply fleet.Address, joined bool) {
	if beat.Member.ID == s.self.Member.ID {
		return "", false
	}
	known, found := s.peers[beat.Member.ID]
	if found && known.beat.Member.Incarnation != beat.Member.Incarnation && beat.Uptime > known.beat.Uptime+now.Sub(known.heardAt)+time.Second {
		// A late datagram of an earlier process.
		return "", false
	}
	joined = !found || !known.live(now)
	for _, contact := range beat.Contacts {
		s.meet(contact)
	}
	beat.Contacts = nil
	s.peers[beat.Member.ID] = &peer{beat: beat, heardAt: now}
	if beat.RequestsContacts {
		reply = beat.PeerAddress
	}
	return reply, joined
}

// meet adds an address that another instance knows.
func (s *State) meet(address fleet.Address) {
	if address == s.self.PeerAddress || slices.Contains(s.options.Seeds, address) {
		return
	}
	for _, p := range s.peers {
		if p.beat.PeerAddress == address {
			return
		}
	}
	s.options.Seeds = append(s.options.Seeds, address)
}

// UpdateView computes the order of the instances and reports what changed.
func (s *State) UpdateView(now time.Time) ViewChange {
	before := s.view
	s.forget(now)
	s.view = s.order(now)
	return ViewChange{
		RoleChanged:   before.place != s.view.place,
		ActiveChanged: !slices.Equal(before.addresses(), s.view.addresses()),
	}
}

// ViewChange says what a new view has changed.
type ViewChange struct {
	// RoleChanged says that this instance moved.
	RoleChanged bool
	// ActiveChanged says that other instances are active.
	ActiveChanged bool
}

// forget drops peers that were silent for long.
func (s *State) forget(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.heardAt) > forgetAfter {
			delete(s.peers, id)
		}
	}
}

// OutgoingHeartbeat is a beat with the addresses that get it.
type OutgoingHeartbeat struct {
	Heartbeat  Heartbeat
	Recipients []fleet.Address
}

// DueHeartbeats returns the beats to send. Bytes between failure domains are paid for, and
// most pairs of instances are in different ones. So only those in use, the active
// and the standby ones, hear each other often across them; idle instances hear from
// them now and then, and never from each other.
func (s *State) DueHeartbeats(now time.Time, urgent bool) []OutgoingHeartbeat {
	lonely := s.view.live == 0
	greeting := lonely || now.Sub(s.options.Start) < greetTime
	near, far := slowEvery, slowFarEvery
	used := s.view.place != Idle || s.self.Leaving || lonely
	if used {
		near, far = fastEvery, fastFarEvery
	}
	var due []OutgoingHeartbeat
	send := func(last *time.Time, after, every time.Duration, asks bool, to func() []fleet.Address) {
		if now.Sub(*last) < after {
			return
		}
		*last = now
		beat := s.self
		beat.Uptime = now.Sub(s.options.Start)
		beat.Interval, beat.RequestsContacts = every, asks
		due = append(due, OutgoingHeartbeat{Heartbeat: beat, Recipients: to()})
	}
	pause := func(every time.Duration) time.Duration {
		if urgent {
			return 0
		}
		return every
	}
	send(&s.nearAt, pause(near), near, lonely, s.near)
	if greeting {
		// The next beat to those that are greeted is a usual one.
		send(&s.greetAt, fastEvery, near, true, s.greeted)
	}
	send(&s.farAt, pause(far), far, false, func() []fleet.Address {
		if used || greeting {
			return s.farUsed()
		}
		return append(s.farUsed(), s.unheard(maxGreeted)...)
	})
	if used {
		send(&s.restAt, pause(restFarEvery), restFarEvery, false, func() []fleet.Address {
			if greeting {
				return s.farRest()
			}
			return append(s.farRest(), s.unheard(maxContacts)...)
		})
	}
	return due
}

// near returns the addresses of the others in the own failure domain.
func (s *State) near() []fleet.Address {
	return s.those(func(p *peer) bool { return p.beat.Domain == s.self.Domain })
}

// farUsed returns the addresses of those in use in other failure domains.
func (s *State) farUsed() []fleet.Address {
	return s.those(func(p *peer) bool { return p.beat.Domain != s.self.Domain && s.view.uses(p.beat.Member.ID) })
}

// farRest returns the addresses of the others in other failure domains.
func (s *State) farRest() []fleet.Address {
	return s.those(func(p *peer) bool { return p.beat.Domain != s.self.Domain && !s.view.uses(p.beat.Member.ID) })
}

// those returns the addresses of the peers for which a condition holds.
func (s *State) those(holds func(p *peer) bool) []fleet.Address {
	var addresses []fleet.Address
	for _, p := range s.peers {
		if holds(p) {
			addresses = append(addresses, p.beat.PeerAddress)
		}
	}
	return addresses
}

// greeted returns a few addresses to ask for contacts: first those that were not
// heard, and else any. Each answer names many, so a bounded number is enough,
// whatever the fleet's size.
func (s *State) greeted() []fleet.Address {
	addresses := s.unheard(maxGreeted)
	for _, p := range s.peers {
		if len(addresses) >= maxGreeted {
			break
		}
		addresses = append(addresses, p.beat.PeerAddress)
	}
	return addresses
}

// unheard returns the addresses of some seeds and contacts that were not heard, in
// random order.
func (s *State) unheard(most int) []fleet.Address {
	known := make(map[fleet.Address]bool, len(s.peers))
	for _, p := range s.peers {
		known[p.beat.PeerAddress] = true
	}
	var addresses []fleet.Address
	for _, seed := range s.options.Seeds {
		if seed != s.self.PeerAddress && !known[seed] {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), most)]
}

// ContactsReply returns the beat that answers a request for contacts.
func (s *State) ContactsReply(now time.Time) Heartbeat {
	beat := s.self
	beat.Interval = slowEvery
	beat.Uptime = now.Sub(s.options.Start)
	for _, p := range s.peers {
		if len(beat.Contacts) >= maxContacts {
			break
		}
		if p.live(now) {
			beat.Contacts = append(beat.Contacts, p.beat.PeerAddress)
		}
	}
	return beat
}

// AddContacts adds addresses that may know other instances.
func (s *State) AddContacts(addresses []fleet.Address) {
	for _, address := range addresses {
		s.meet(address)
	}
}

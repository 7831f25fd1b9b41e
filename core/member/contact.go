package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// contacts are the addresses that this instance may ask for members.
type contacts struct {
	listing fleet.Listing
	// listed means that a listing has been read, and readAt is when the newest
	// revision of it was first read.
	listed bool
	readAt time.Time
	// named holds the ids in the listing.
	named map[fleet.InstanceID]bool
	// dropped says since when the listing lacks an instance that it named.
	dropped map[fleet.InstanceID]time.Time
	// introduced means that an active member sent all of its records.
	introduced bool
	// bootstrapped means that the known records are complete enough to choose
	// a panel.
	bootstrapped bool
	beganAt      time.Time
	due          time.Time
	// askedAt is when an address was last asked.
	askedAt map[fleet.Address]time.Time
}

func (c *contacts) begin(now time.Time) {
	c.introduced, c.bootstrapped = false, false
	c.beganAt = now
	c.due = now
	c.askedAt = make(map[fleet.Address]time.Time)
}

// setListing keeps the newest listing and notes whom it dropped.
func (c *contacts) setListing(now time.Time, listing fleet.Listing) {
	if c.listed && listing.Revision <= c.listing.Revision {
		return
	}
	if c.dropped == nil {
		c.dropped = make(map[fleet.InstanceID]time.Time)
	}
	for _, instance := range c.listing.Instances {
		if _, ok := c.dropped[instance.ID]; !ok {
			c.dropped[instance.ID] = now
		}
	}
	c.named = make(map[fleet.InstanceID]bool, len(listing.Instances))
	for _, instance := range listing.Instances {
		c.named[instance.ID] = true
		delete(c.dropped, instance.ID)
	}
	for id, since := range c.dropped {
		if now.Sub(since) > keepDropped {
			delete(c.dropped, id)
		}
	}
	c.listing, c.listed, c.readAt = listing, true, now
}

// missing returns since when the listing lacks a member. One that was never
// listed counts as missing if a revision read long after it was first seen
// still does not name it.
func (c *contacts) missing(e *entry) (since time.Time, missing bool) {
	if since, missing = c.dropped[e.Member.ID]; missing || !c.listed {
		return since, missing
	}
	return e.FirstSeen, !c.named[e.Member.ID] && c.readAt.Sub(e.FirstSeen) >= unlistedAfter
}

// known tells which ids and addresses have a member that has not ended.
type known struct {
	ids       map[fleet.InstanceID]bool
	addresses map[fleet.Address]bool
}

func (s *State) known() known {
	k := known{ids: make(map[fleet.InstanceID]bool), addresses: make(map[fleet.Address]bool)}
	for _, e := range s.sorted {
		if !e.Status.Ended() {
			k.ids[e.Member.ID] = true
			k.addresses[e.PeerAddress] = true
		}
	}
	return k
}

// bootstrap decides, until the first panel is chosen, whether the records known
// are complete enough to choose one. An instance that was introduced to a fleet
// must know as many members as a majority of the listing, those that do not
// answer it left out. Otherwise, when both sides of a partition have fenced each
// other, each would form a fleet of new incarnations. An instance that found no active member must know all listed
// instances, or after some patience a majority of them, so that two halves of a
// fleet that starts while the network is cut do not both begin.
func (s *State) bootstrap(now time.Time) {
	if s.committed.number > 0 {
		return
	}
	introduced := s.contacts.introduced && 2*s.reachable(now) > s.contacts.live()
	s.contacts.bootstrapped = introduced || s.complete(now)
}

// reachable counts the instances that have not ended, this one included, without
// those that were found unresponsive.
func (s *State) reachable(now time.Time) int {
	ids := make(map[fleet.InstanceID]bool)
	for _, e := range s.sorted {
		if !e.Status.Ended() && !now.Before(e.answering.avoidUntil) {
			ids[e.Member.ID] = true
		}
	}
	return len(ids)
}

// complete reports whether enough of the listed instances are known.
func (s *State) complete(now time.Time) bool {
	waited := now.Sub(s.contacts.beganAt)
	total, found, current := s.countContacts()
	if total == 0 || !current && waited < listingPatience {
		return false
	}
	return found == total || waited >= silentPatience && 2*found > total
}

// live returns the number of listed instances that are not leaving.
func (c *contacts) live() int {
	count := 0
	for _, instance := range c.listing.Instances {
		if instance.Presence == fleet.Live {
			count++
		}
	}
	return count
}

// countContacts returns how many instances should exist, this one included,
// and how many of them are known. Current is false if the listing is too old
// to name this instance. Without a listing the addresses from the settings
// stand in; without either there is nothing to go by.
func (s *State) countContacts() (total, found int, current bool) {
	k := s.known()
	if len(s.contacts.listing.Instances) == 0 && len(s.options.Seeds) > 0 {
		total, found = 1, 1
		for _, address := range s.options.Seeds {
			if address == s.options.PeerAddress {
				continue
			}
			total++
			if k.addresses[address] {
				found++
			}
		}
		return total, found, true
	}
	if !s.contacts.listed {
		return 0, 0, false
	}
	total, found = 1, 1
	for _, instance := range s.contacts.listing.Instances {
		switch {
		case instance.ID == s.options.ID:
			current = true
		case instance.Presence == fleet.Live:
			total++
			if k.ids[instance.ID] {
				found++
			}
		}
	}
	return total, found, current
}

// contact sends Syncs to addresses whose member is unknown. An instance that
// is not bootstrapped also asks the members that it knows.
func (s *State) contact(now time.Time, effects *Effects) {
	if now.Before(s.contacts.due) || s.self.Status == Left {
		return
	}
	count, interval := joinContacts, joinContactEvery
	if s.contacts.bootstrapped {
		count, interval = 1, contactEvery
	}
	s.contacts.due = now.Add(interval)
	addresses := s.contactAddresses(now)
	for range min(count, len(addresses)) {
		i := int(s.options.Random.Uint64() % uint64(len(addresses)))
		s.contacts.askedAt[addresses[i]] = now
		s.sync(now, Peer{Address: addresses[i]}, effects)
		addresses = slices.Delete(addresses, i, i+1)
	}
}

// contactAddresses returns the addresses that may be asked now.
func (s *State) contactAddresses(now time.Time) []fleet.Address {
	k := s.known()
	var addresses []fleet.Address
	add := func(address fleet.Address) {
		recent := now.Sub(s.contacts.askedAt[address]) < contactRetry
		if address != s.options.PeerAddress && !recent && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, instance := range s.contacts.listing.Instances {
		if !k.ids[instance.ID] {
			add(instance.PeerAddress)
		}
	}
	for _, address := range s.options.Seeds {
		if !k.addresses[address] {
			add(address)
		}
	}
	for _, e := range s.sorted {
		rejoining := e.Status == Fenced && !k.ids[e.Member.ID]
		if rejoining || !s.contacts.bootstrapped && !e.Status.Ended() {
			add(e.PeerAddress)
		}
	}
	return addresses
}

package member

import (
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// discovery holds the platform's listing and the progress of finding the members
// of the fleet.
type discovery struct {
	listing fleet.Listing
	// hasListing means that a listing has been read, and listingReadAt is when its
	// newest revision was first read.
	hasListing    bool
	listingReadAt time.Time
	// listedIDs holds the ids in the listing.
	listedIDs map[fleet.InstanceID]bool
	// droppedSince holds the time since which the listing lacks an instance that
	// an earlier revision listed.
	droppedSince map[fleet.InstanceID]time.Time
	// syncedWithActive means that an active or leaving member sent all of its
	// records.
	syncedWithActive bool
	// bootstrapped means that enough records are known to choose witnesses.
	bootstrapped bool
	startedAt    time.Time
	nextSyncAt   time.Time
	// lastSyncAt holds the send time of the latest sync request to each address.
	lastSyncAt map[fleet.Address]time.Time
}

func (d *discovery) restart(now time.Time) {
	d.syncedWithActive, d.bootstrapped = false, false
	d.startedAt = now
	d.nextSyncAt = now
	d.lastSyncAt = make(map[fleet.Address]time.Time)
}

// setListing stores a newer listing and records the instances that it dropped.
func (d *discovery) setListing(now time.Time, listing fleet.Listing) {
	if d.hasListing && listing.Revision <= d.listing.Revision {
		return
	}
	if d.droppedSince == nil {
		d.droppedSince = make(map[fleet.InstanceID]time.Time)
	}
	for _, instance := range d.listing.Instances {
		if _, ok := d.droppedSince[instance.ID]; !ok {
			d.droppedSince[instance.ID] = now
		}
	}
	d.listedIDs = make(map[fleet.InstanceID]bool, len(listing.Instances))
	for _, instance := range listing.Instances {
		d.listedIDs[instance.ID] = true
		delete(d.droppedSince, instance.ID)
	}
	for id, since := range d.droppedSince {
		if now.Sub(since) > droppedIDTTL {
			delete(d.droppedSince, id)
		}
	}
	d.listing, d.hasListing, d.listingReadAt = listing, true, now
}

// missingSince returns the time since which the listing lacks a member. A member
// that was never listed counts as missing if a revision read at least
// unlistedDelay after it was first seen does not contain it.
func (d *discovery) missingSince(e *entry) (since time.Time, missing bool) {
	if since, missing = d.droppedSince[e.Member.ID]; missing || !d.hasListing {
		return since, missing
	}
	return e.FirstSeen, !d.listedIDs[e.Member.ID] && d.listingReadAt.Sub(e.FirstSeen) >= unlistedDelay
}

// peerIndex holds the ids and peer addresses of the members that have not ended.
type peerIndex struct {
	ids       map[fleet.InstanceID]bool
	addresses map[fleet.Address]bool
}

func (s *State) indexPeers() peerIndex {
	index := peerIndex{ids: make(map[fleet.InstanceID]bool), addresses: make(map[fleet.Address]bool)}
	for _, e := range s.sortedEntries {
		if !e.Status.Ended() {
			index.ids[e.Member.ID] = true
			index.addresses[e.PeerAddress] = true
		}
	}
	return index
}

// bootstrap decides, until the first witness set is chosen, whether enough
// records are known to choose one. An instance that synced with an active member
// must know as many responsive members as a majority of the listing. Otherwise,
// once the two sides of a partition have fenced each other, each side would form
// a fleet of new incarnations. An instance that found no active member must know
// all listed instances, or a majority of them after silentInstanceTimeout, so
// that the two halves of a fleet that first starts during a partition do not both
// become active.
func (s *State) bootstrap(now time.Time) {
	if s.committed.version > 0 {
		return
	}
	syncedWithMajority := s.discovery.syncedWithActive && 2*s.countReachable(now) > s.discovery.liveCount()
	s.discovery.bootstrapped = syncedWithMajority || s.listedInstancesKnown(now)
}

// countReachable returns the number of instances that have not ended and were not
// found unresponsive, including this one.
func (s *State) countReachable(now time.Time) int {
	ids := make(map[fleet.InstanceID]bool)
	for _, e := range s.sortedEntries {
		if !e.Status.Ended() && !now.Before(e.witness.avoidUntil) {
			ids[e.Member.ID] = true
		}
	}
	return len(ids)
}

// listedInstancesKnown reports whether enough of the listed instances are known.
func (s *State) listedInstancesKnown(now time.Time) bool {
	waited := now.Sub(s.discovery.startedAt)
	expected, known, listingCurrent := s.countExpected()
	if expected == 0 || !listingCurrent && waited < ownListingTimeout {
		return false
	}
	return known == expected || waited >= silentInstanceTimeout && 2*known > expected
}

// liveCount returns the number of listed instances that are not leaving.
func (d *discovery) liveCount() int {
	count := 0
	for _, instance := range d.listing.Instances {
		if instance.Presence == fleet.Live {
			count++
		}
	}
	return count
}

// countExpected returns the number of instances that should exist, including this
// one, and how many of them are known. ListingCurrent is false if the listing
// does not contain this instance yet. Without listed instances the seeds from the
// settings are counted; without seeds and a listing, all counts are zero.
func (s *State) countExpected() (expected, known int, listingCurrent bool) {
	index := s.indexPeers()
	if len(s.discovery.listing.Instances) == 0 && len(s.options.Seeds) > 0 {
		expected, known = 1, 1
		for _, address := range s.options.Seeds {
			if address == s.options.PeerAddress {
				continue
			}
			expected++
			if index.addresses[address] {
				known++
			}
		}
		return expected, known, true
	}
	if !s.discovery.hasListing {
		return 0, 0, false
	}
	expected, known = 1, 1
	for _, instance := range s.discovery.listing.Instances {
		switch {
		case instance.ID == s.options.ID:
			listingCurrent = true
		case instance.Presence == fleet.Live:
			expected++
			if index.ids[instance.ID] {
				known++
			}
		}
	}
	return expected, known, listingCurrent
}

// sendDiscoverySyncs sends sync requests to addresses whose member is unknown. Before
// the bootstrap they go to known members as well.
func (s *State) sendDiscoverySyncs(now time.Time, effects *Effects) {
	if now.Before(s.discovery.nextSyncAt) || s.self.Status == Left {
		return
	}
	count, interval := joinDiscoveryFanout, joinDiscoveryInterval
	if s.discovery.bootstrapped {
		count, interval = 1, discoveryInterval
	}
	s.discovery.nextSyncAt = now.Add(interval)
	addresses := s.discoveryAddresses(now)
	for range min(count, len(addresses)) {
		i := int(s.options.Random.Uint64() % uint64(len(addresses)))
		s.discovery.lastSyncAt[addresses[i]] = now
		s.addSyncRequest(now, Peer{Address: addresses[i]}, effects)
		addresses = slices.Delete(addresses, i, i+1)
	}
}

// discoveryAddresses returns the addresses to which a sync request may be sent at
// now.
func (s *State) discoveryAddresses(now time.Time) []fleet.Address {
	index := s.indexPeers()
	var addresses []fleet.Address
	add := func(address fleet.Address) {
		recentlySynced := now.Sub(s.discovery.lastSyncAt[address]) < contactRetryInterval
		if address != s.options.PeerAddress && !recentlySynced && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, instance := range s.discovery.listing.Instances {
		if !index.ids[instance.ID] {
			add(instance.PeerAddress)
		}
	}
	for _, address := range s.options.Seeds {
		if !index.addresses[address] {
			add(address)
		}
	}
	for _, e := range s.sortedEntries {
		rejoining := e.Status == Fenced && !index.ids[e.Member.ID]
		if rejoining || !s.discovery.bootstrapped && !e.Status.Ended() {
			add(e.PeerAddress)
		}
	}
	return addresses
}

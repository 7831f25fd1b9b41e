package control

import (
	"context"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/listing"
	"galenaridge/core/member"
)

// offerConfig adopts a document if it is valid and newer.
func (n *node) offerConfig(now time.Time, document config.Document) config.Decision {
	decision := n.config.Offer(document)
	n.options.Events.ConfigOffered(decision, document.Version)
	if decision.Verdict != config.Adopted {
		return decision
	}
	n.configAt = now
	n.newest = max(n.newest, document.Version)
	n.configureServices(now)
	n.setWanted(now)
	n.announceConfig(now)
	n.changed = true
	return decision
}

// configureServices creates, changes and removes services.
func (n *node) configureServices(now time.Time) {
	view := n.config.View()
	for _, configured := range view.Document().Services {
		if s, known := n.services[configured.Name]; known {
			s.configure(now, configured)
			continue
		}
		n.services[configured.Name] = newService(n, now, configured)
	}
	for name, s := range n.services {
		if _, configured := view.Service(name); !configured {
			delete(n.services, name)
			n.retired = append(n.retired, s)
		}
	}
}

// offerListing adopts a list with a higher revision.
func (n *node) offerListing(now time.Time, list fleet.Listing) {
	if list.Revision <= n.listing.Revision {
		return
	}
	n.history = n.history.Add(listing.Diff(n.listing, list))
	n.listing = list
	n.listingAt = now
	n.members.SetListing(now, list)
	n.setWanted(now)
	n.announceConfig(now)
	n.changed = true
}

// offerChanges adopts the list that results from changes, unless another list
// was adopted since they were asked for.
func (n *node) offerChanges(now time.Time, changes listing.Delta) {
	list, err := listing.Apply(n.listing, changes)
	if err == nil {
		n.offerListing(now, list)
	}
}

// announceConfig puts the documents in force into the gossip.
func (n *node) announceConfig(now time.Time) {
	view := n.config.View()
	n.members.SetConfig(now, member.Config{
		Version:         view.Version(),
		Digest:          view.Digest(),
		ListingRevision: n.listing.Revision,
	})
}

// notePeer takes what a peer says about its documents.
func (n *node) notePeer(now time.Time, peer member.Config) {
	if peer.Version >= n.newest {
		n.newest = peer.Version
		n.newestAt = now
	}
}

// notePlatform takes how long ago, before a time, a peer knows the platform to
// have been read.
func (n *node) notePlatform(before time.Time, age PlatformAge) {
	if readAt := before.Add(-time.Duration(age)); readAt.After(n.platformAt) {
		n.platformAt = readAt
	}
}

// behind reports whether a peer recently announced a newer configuration than
// the one in force here.
func (n *node) behind(now time.Time) bool {
	return n.newest > n.config.View().Version() && now.Sub(n.newestAt) < newsLife
}

// platformAge returns how long ago any instance last read the platform.
func (n *node) platformAge(now time.Time) PlatformAge {
	return PlatformAge(max(now.Sub(n.platformAt), 0))
}

// fetch asks a peer for newer documents; one fetch runs at a time.
func (n *node) fetch(event member.Event) {
	view := n.config.View()
	if n.fetching || (event.Config.Version <= view.Version() && event.Config.ListingRevision <= n.listing.Revision) {
		return
	}
	n.fetching = true
	to := member.Peer{Member: event.Member, Address: event.PeerAddress}
	known := KnownDocuments{ConfigVersion: view.Version(), ListingRevision: n.listing.Revision}
	call := func(ctx context.Context) (Documents, error) { return n.options.Peers.Fetch(ctx, to, known) }
	send(n, fetchTimeout, call, func(n *node, now time.Time, documents Documents, err error) {
		n.fetching = false
		if err != nil {
			return
		}
		if documents.Config != nil {
			n.offerConfig(now, *documents.Config)
		}
		if documents.Listing != nil {
			n.offerListing(now, *documents.Listing)
		}
		if documents.ListingDelta != nil {
			n.offerChanges(now, *documents.ListingDelta)
		}
	})
}

// chooseWatch switches the watch of the platform on if this instance is among
// the watchers of its failure domain. One that could read the platform when
// those before it could not goes on for a while; otherwise its own success
// would end its watch, and each next change would wait for platformSilence.
func (n *node) chooseWatch(now time.Time) {
	if n.watchRank() < n.watcherCount(now) {
		n.watchNeeded = now
	}
	reads := now.Sub(n.readAt) < platformSilence
	watch := n.watchNeeded.Equal(now) || n.watching && reads && now.Sub(n.watchNeeded) < watchHold
	if watch != n.watching {
		n.watching = watch
		n.options.PlatformWatcher.SetEnabled(watch)
		n.changed = true
	}
}

// watcherCount returns how many members of a failure domain should watch: two,
// and two more for each period in which nobody has read the platform.
func (n *node) watcherCount(now time.Time) int {
	silence := now.Sub(n.platformAt)
	return 2 * (1 + int(silence/platformSilence))
}

// watchRank returns the rank of this instance among the live members of its
// failure domain.
func (n *node) watchRank() int {
	view := n.members.View()
	self := view.Self()
	var others []fleet.InstanceID
	for _, info := range view.Members() {
		if info.Domain == self.Domain && !info.Status.Ended() && !info.Suspected && info.Member.ID != self.Member.ID {
			others = append(others, info.Member.ID)
		}
	}
	return rankAmong(self.Domain, self.Member.ID, others)
}

// rankAmong returns how many of the others come before an instance in the
// rendezvous order of those that watch the platform for a failure domain.
func rankAmong(domain fleet.Domain, self fleet.InstanceID, others []fleet.InstanceID) int {
	resource := fleet.Resource("watch/" + string(domain))
	own := fleet.RendezvousScore(self, resource)
	rank := 0
	for _, other := range others {
		if fleet.RendezvousScore(other, resource) > own {
			rank++
		}
	}
	return rank
}

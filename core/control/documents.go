package control

import (
	"context"
	"math"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/listing"
	"galenaridge/core/member"
)

// offerConfig adopts a document if it is valid and newer than the active one.
func (n *node) offerConfig(now time.Time, document config.Document) config.Decision {
	decision := n.config.Offer(document)
	n.options.Events.ConfigOffered(decision, document.Version)
	if decision.Verdict != config.Adopted {
		return decision
	}
	n.configAdoptedAt = now
	n.newestVersion = max(n.newestVersion, document.Version)
	n.configureServices(now)
	n.setResources(now)
	n.announceConfig(now)
	n.changed = true
	return decision
}

// configureServices creates, changes and removes services according to the
// active configuration. Removed services are retired.
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

// offerListing adopts a listing if its revision is higher than the revision of the
// current listing.
func (n *node) offerListing(now time.Time, list fleet.Listing) {
	if list.Revision <= n.listing.Revision {
		return
	}
	n.history = n.history.Add(listing.Diff(n.listing, list))
	n.listing = list
	n.listingAdoptedAt = now
	n.members.SetListing(now, list)
	n.setResources(now)
	n.announceConfig(now)
	n.changed = true
}

// offerDelta adopts the listing that results from a delta, unless another listing was
// adopted after the delta was requested.
func (n *node) offerDelta(now time.Time, delta listing.Delta) {
	list, err := listing.Apply(n.listing, delta)
	if err == nil {
		n.offerListing(now, list)
	}
}

// announceConfig gossips the versions of the active configuration and of the
// current listing.
func (n *node) announceConfig(now time.Time) {
	view := n.config.View()
	n.members.SetConfig(now, member.Config{
		Version:         view.Version(),
		Digest:          view.Digest(),
		ListingRevision: n.listing.Revision,
	})
}

// recordPeerConfig records the configuration version of a peer if no higher one
// was reported.
func (n *node) recordPeerConfig(now time.Time, peer member.Config) {
	if peer.Version >= n.newestVersion {
		n.newestVersion = peer.Version
		n.newestReportedAt = now
	}
}

// recordPlatformAge records a peer's report that the platform was last read at
// reference minus age.
func (n *node) recordPlatformAge(reference time.Time, age PlatformAge) {
	if readAt := reference.Add(-time.Duration(age)); readAt.After(n.platformReadAt) {
		n.platformReadAt = readAt
	}
}

// configBehind reports whether a peer announced within the last
// announcementTTL a configuration newer than the active one.
func (n *node) configBehind(now time.Time) bool {
	return n.newestVersion > n.config.View().Version() && now.Sub(n.newestReportedAt) < announcementTTL
}

// platformAge returns the time since any instance last read the platform, as far
// as known here.
func (n *node) platformAge(now time.Time) PlatformAge {
	return PlatformAge(max(now.Sub(n.platformReadAt), 0))
}

// A known version or revision that is higher than any other asks a peer not to send the
// document.
const (
	skipConfig  = fleet.Version(math.MaxUint64)
	skipListing = fleet.Revision(math.MaxUint64)
)

// fetchDocuments requests newer documents from the peer in the event. The configuration
// and the listing are fetched apart, so that a change of the listing does not wait for a
// large configuration. Only one fetch of each runs at a time.
func (n *node) fetchDocuments(event member.Event) {
	to := member.Peer{Member: event.Member, Address: event.PeerAddress}
	if version := n.config.View().Version(); event.Config.Version > version {
		n.fetch(&n.fetchingConfig, to, KnownDocuments{ConfigVersion: version, ListingRevision: skipListing})
	}
	if event.Config.ListingRevision > n.listing.Revision {
		n.fetch(&n.fetchingListing, to, KnownDocuments{ConfigVersion: skipConfig, ListingRevision: n.listing.Revision})
	}
}

// fetch requests documents from a peer unless the fetch that the flag stands for is
// running.
func (n *node) fetch(running *bool, to member.Peer, known KnownDocuments) {
	if *running {
		return
	}
	*running = true
	call := func(ctx context.Context) (Documents, error) { return n.options.Peers.Fetch(ctx, to, known) }
	callAsync(n, fetchTimeout, call, func(n *node, now time.Time, documents Documents, err error) {
		*running = false
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
			n.offerDelta(now, *documents.ListingDelta)
		}
	})
}

// updatePlatformWatch enables the platform watch if this instance is among the
// watchers of its failure domain, and disables it otherwise. An instance that
// reads the platform successfully after higher-ranked watchers failed keeps
// watching for extraWatchTime; otherwise its own success would end its watch, and
// each further change would be delayed by platformSilenceTimeout.
func (n *node) updatePlatformWatch(now time.Time) {
	if n.watchRank() < n.watcherCount(now) {
		n.watchRequiredAt = now
	}
	canRead := now.Sub(n.ownReadAt) < platformSilenceTimeout
	shouldWatch := n.watchRequiredAt.Equal(now) || n.watchingPlatform && canRead && now.Sub(n.watchRequiredAt) < extraWatchTime
	if shouldWatch != n.watchingPlatform {
		n.watchingPlatform = shouldWatch
		n.options.PlatformWatcher.SetEnabled(shouldWatch)
		n.changed = true
	}
}

// watcherCount returns the number of members of a failure domain that should
// watch the platform: two, plus two for each platformSilenceTimeout without a
// read by any instance.
func (n *node) watcherCount(now time.Time) int {
	sinceRead := now.Sub(n.platformReadAt)
	return 2 * (1 + int(sinceRead/platformSilenceTimeout))
}

// watchRank returns the rank of this instance, from 0, among the live members of
// its failure domain.
func (n *node) watchRank() int {
	view := n.members.View()
	self := view.Self()
	var others []fleet.InstanceID
	for _, info := range view.Members() {
		if info.Domain == self.Domain && !info.Status.Ended() && !info.Suspected && info.Member.ID != self.Member.ID {
			others = append(others, info.Member.ID)
		}
	}
	return watchRankAmong(self.Domain, self.Member.ID, others)
}

// watchRankAmong returns how many of the other instances precede self in the
// rendezvous order of watchers for a failure domain.
func watchRankAmong(domain fleet.Domain, self fleet.InstanceID, others []fleet.InstanceID) int {
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

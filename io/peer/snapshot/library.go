package snapshot

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
)

const (
	// maxEditions is the number of generations of a document that are kept, so that
	// transfers end while the document changes.
	maxEditions = 3
	// maxListingAge is how long an encoded server listing is sent to instances that begin
	// a transfer. They fetch the changes since then afterwards.
	maxListingAge = 500 * time.Millisecond
)

// edition is one encoded generation of a document.
type edition struct {
	generation follow.Generation
	digest     fleet.Digest
	data       []byte
	encodedAt  time.Time
}

// library holds the latest encoded generations of the documents, since many instances
// fetch a new one at about the same time.
type library struct {
	source Source
	clock  fleet.Clock

	mu       sync.Mutex
	editions map[follow.Kind][]edition
}

func newLibrary(source Source, clock fleet.Clock) *library {
	return &library{source: source, clock: clock, editions: make(map[follow.Kind][]edition)}
}

// find returns the requested generation of a document, or the current one if that is no
// longer kept. It returns false if there is no document.
func (l *library) find(kind follow.Kind, generation follow.Generation) (edition, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.editions[kind] {
		if !generation.IsZero() && e.generation == generation {
			return e, true, nil
		}
	}
	return l.current(kind)
}

// current returns the current generation of a document. The caller holds the lock, so
// that concurrent calls share one encoding.
func (l *library) current(kind follow.Kind) (edition, bool, error) {
	var latest edition
	if kept := l.editions[kind]; len(kept) > 0 {
		latest = kept[len(kept)-1]
	}
	now := l.clock.Now()
	var message proto.Message
	var generation follow.Generation
	switch kind {
	case follow.Configuration:
		document := l.source.Configuration()
		if document == nil {
			return edition{}, false, nil
		}
		generation = follow.VersionGeneration(document.Version)
		if generation == latest.generation {
			return latest, true, nil
		}
		message = toRoutes(document)
	default:
		if !latest.generation.IsZero() && now.Sub(latest.encodedAt) < maxListingAge {
			return latest, true, nil
		}
		listing := l.source.Listing()
		if listing.Position.IsZero() {
			return edition{}, false, nil
		}
		generation, message = follow.PositionGeneration(listing.Position), toServers(listing)
	}
	data, err := encode(message)
	if err != nil {
		return edition{}, false, err
	}
	latest = edition{generation: generation, digest: digestOf(data), data: data, encodedAt: now}
	l.keep(kind, latest)
	return latest, true, nil
}

// keep adds an edition in place of one of the same generation, and drops the oldest beyond
// maxEditions.
func (l *library) keep(kind follow.Kind, added edition) {
	var kept []edition
	for _, e := range l.editions[kind] {
		if e.generation != added.generation {
			kept = append(kept, e)
		}
	}
	kept = append(kept, added)
	l.editions[kind] = kept[max(len(kept)-maxEditions, 0):]
}

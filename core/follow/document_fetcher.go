package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
)

const (
	// partTimeout bounds the fetch of one part. It covers the wait at a peer that sends
	// to others as well.
	partTimeout = 700 * time.Millisecond
	// busyBackoff is the shortest time after which a busy peer is asked again. A random
	// time of the same length is added, so that instances do not ask in step.
	busyBackoff = 40 * time.Millisecond
	// maxOffers bounds the queued offers.
	maxOffers = 256
)

// offer names a peer that has a generation of a document.
type offer struct {
	kind       Kind
	peer       fleet.Address
	generation Generation
}

// source is a peer that has a newer document.
type source struct {
	generation Generation
	// notBefore is the time until which the peer is busy.
	notBefore time.Time
}

// documentFetcher fetches documents in parts, one part at a time. A part that does not
// arrive costs only that part: the transfer continues with another peer that has the same
// document. Only run uses the fields from sources on.
type documentFetcher struct {
	options CopyFetcherOptions
	offers  chan offer
	sources map[Kind]map[fleet.Address]source
	// transfers holds the unfinished transfers, finished the generations that were
	// fetched last. A generation is not fetched twice, even if it could not be used.
	transfers map[Kind]*transfer
	finished  map[Kind]Generation
}

func newDocumentFetcher(options CopyFetcherOptions) documentFetcher {
	d := documentFetcher{
		options:   options,
		offers:    make(chan offer, maxOffers),
		sources:   make(map[Kind]map[fleet.Address]source),
		transfers: make(map[Kind]*transfer),
		finished:  make(map[Kind]Generation),
	}
	for _, kind := range documentKinds {
		d.sources[kind] = make(map[fleet.Address]source)
		d.transfers[kind] = &transfer{}
	}
	return d
}

// documentKinds holds the kinds of documents in the order in which they are fetched.
var documentKinds = []Kind{Servers, Configuration}

// offer queues an offer. It drops the offer if too many are queued: the next heartbeat of
// the peer repeats it.
func (d *documentFetcher) offer(o offer) {
	select {
	case d.offers <- o:
	default:
	}
}

func (d *documentFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.takeOffers()
		kind, peer, wait := d.next()
		switch {
		case peer != "":
			d.fetchPart(ctx, kind, peer)
		case wait > 0:
			_ = d.options.Clock.Sleep(ctx, wait)
		default:
			select {
			case o := <-d.offers:
				d.add(o)
			case <-ctx.Done():
			}
		}
	}
}

// takeOffers adds the queued offers to the sources.
func (d *documentFetcher) takeOffers() {
	for {
		select {
		case o := <-d.offers:
			d.add(o)
		default:
			return
		}
	}
}

func (d *documentFetcher) add(o offer) {
	s := d.sources[o.kind][o.peer]
	s.generation = o.generation
	d.sources[o.kind][o.peer] = s
}

// next returns the document and the peer to fetch a part from. If all peers with a newer
// document are busy, it returns the time until one of them may be asked again. If there is
// no such peer, it returns zero values.
func (d *documentFetcher) next() (Kind, fleet.Address, time.Duration) {
	now := d.options.Clock.Now()
	var wait time.Duration
	for _, kind := range documentKinds {
		d.dropKnown(kind)
		var free []fleet.Address
		for peer, s := range d.sources[kind] {
			switch busyFor := s.notBefore.Sub(now); {
			case s.generation.Before(d.transfers[kind].generation):
			case busyFor <= 0:
				free = append(free, peer)
			case wait == 0 || busyFor < wait:
				wait = busyFor
			}
		}
		if len(free) > 0 {
			return kind, free[int(d.options.Random.Float64()*float64(len(free)))], 0
		}
	}
	return 0, "", wait
}

// dropKnown drops the sources that have nothing new, and a transfer that is no longer
// needed or that no source can continue.
func (d *documentFetcher) dropKnown(kind Kind) {
	known := maxGeneration(d.options.Copy.Generation(kind), d.finished[kind])
	var newest Generation
	for peer, s := range d.sources[kind] {
		if !known.Before(s.generation) {
			delete(d.sources[kind], peer)
			continue
		}
		newest = maxGeneration(newest, s.generation)
	}
	if t := d.transfers[kind]; !known.Before(t.generation) || !newest.IsZero() && newest.Before(t.generation) {
		d.transfers[kind] = &transfer{}
	}
}

// fetchPart fetches the next part of a document from a peer.
func (d *documentFetcher) fetchPart(ctx context.Context, kind Kind, peer fleet.Address) {
	partCtx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	t := d.transfers[kind]
	startedAt, receivedBefore := d.options.Clock.Now(), d.options.Peers.ReceivedBytes()
	part, err := d.options.Peers.FetchPart(partCtx, peer, t.request(kind))
	now := d.options.Clock.Now()
	if errors.Is(err, ErrBusy) {
		s := d.sources[kind][peer]
		s.notBefore = now.Add(busyBackoff + time.Duration(d.options.Random.Float64()*float64(busyBackoff)))
		d.sources[kind][peer] = s
		return
	}
	if err == nil {
		err = t.add(startedAt, part)
		d.raise(kind, peer, part.Generation)
	}
	if err == nil && t.complete() {
		err = d.finish(kind, peer, t)
		if err == nil {
			return
		}
	}
	if err != nil {
		delete(d.sources[kind], peer)
		if errors.Is(err, errUnexpectedPart) && len(d.sources[kind]) == 0 {
			// The remaining peers encode the document in another way.
			d.transfers[kind] = &transfer{}
		}
		d.options.Sink.ReportFetch(FetchReport{
			Kind:          kind,
			Peer:          peer,
			Known:         d.options.Copy.Generation(kind),
			Fetched:       part.Generation,
			Duration:      now.Sub(startedAt),
			ReceivedBytes: d.options.Peers.ReceivedBytes() - receivedBefore,
			Err:           err,
		})
	}
}

// raise records that a peer has a generation. An offer may name a lower one, since an
// instance that lacks changes knows only that the peer has something newer.
func (d *documentFetcher) raise(kind Kind, peer fleet.Address, generation Generation) {
	if s, offered := d.sources[kind][peer]; offered {
		s.generation = maxGeneration(s.generation, generation)
		d.sources[kind][peer] = s
	}
}

// finish passes a complete document to the sink and resets the transfer.
func (d *documentFetcher) finish(kind Kind, peer fleet.Address, t *transfer) error {
	d.transfers[kind] = &transfer{}
	if err := t.verify(); err != nil {
		return err
	}
	d.finished[kind] = maxGeneration(d.finished[kind], t.generation)
	listing, err := d.options.Peers.Decode(kind, t.data)
	if err != nil {
		return err
	}
	d.options.Sink.ReportFetch(FetchReport{
		Kind:          kind,
		Peer:          peer,
		Known:         d.options.Copy.Generation(kind),
		Fetched:       t.generation,
		Duration:      d.options.Clock.Now().Sub(t.startedAt),
		ReceivedBytes: int64(len(t.data)),
	})
	switch kind {
	case Configuration:
		d.options.Sink.ApplyConfiguration(listing.Routes)
	default:
		listing.Age += t.age
		if listing.OutageAge > 0 {
			listing.OutageAge += t.age
		}
		d.options.Sink.ApplyListing(listing, false)
	}
	return nil
}

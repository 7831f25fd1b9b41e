package once

import (
	"container/heap"
	"io"
	"strings"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// beginSweep is how many expired records an arrival drops from its shard at
// most; more than one, so that a shard shrinks even without Sweep.
const beginSweep = 4

// NewLedger returns an empty ledger with a new secret. It fails if the random
// source does.
func NewLedger(o Options) (*Ledger, error) {
	secret := make([]byte, secretSize)
	if _, err := io.ReadFull(o.Random, secret); err != nil {
		return nil, err
	}
	return &Ledger{
		options:   o,
		authority: newAuthority(o.Home, secret),
		table:     newTable(o.StartedAt),
	}, nil
}

// Mint issues a token for requests to a service. It fails with ErrEnded after
// End, with ErrMalformed if a name is too long for a token, and if the random
// source does.
func (l *Ledger) Mint(now time.Time, service fleet.ServiceName) (Token, error) {
	if l.ending.Load() != nil {
		return "", ErrEnded
	}
	nonce, err := l.nonce()
	if err != nil {
		return "", err
	}
	expiry := l.table.elapsed(now) + l.options.TokenTTL
	return l.authority.issue(Claims{Home: l.options.Home, Service: service, Expiry: expiry}, nonce)
}

func (l *Ledger) nonce() ([]byte, error) {
	l.random.Lock()
	defer l.random.Unlock()
	nonce := make([]byte, nonceSize)
	_, err := io.ReadFull(l.options.Random, nonce)
	return nonce, err
}

// Begin records an arrival and decides whether it may start the request. After
// End it starts nothing and answers like the ledger's archive.
func (l *Ledger) Begin(now time.Time, a Arrival) Decision {
	claims, refused := l.authority.admit(a)
	if refused != nil {
		return *refused
	}
	id := recordID{token: a.Token, key: a.Key}
	s := l.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(l.table.elapsed(now))
	if r := s.records[id]; r != nil {
		return r.decide(a.Fingerprint)
	}
	s.drop(beginSweep)
	if claims.Expiry <= s.clock {
		return refuse(exchange.TokenExpired, "the token has expired")
	}
	if s.ended {
		return refuse(exchange.Stopping, "the home of the token starts no more requests")
	}
	if l.full() {
		return refuse(exchange.RecordsFull, "the home cannot record another key")
	}
	return s.start(a, claims.Expiry)
}

// full reports whether no further key can be recorded. Shards check it at the
// same time, so the limit can be passed by one record for each shard.
func (l *Ledger) full() bool {
	u := &l.table.usage
	return u.records.Load() >= int64(l.options.MaxRecords) || u.headers.Load() >= l.options.MaxMemoryBytes
}

// start inserts the record of a first arrival and returns its ticket.
func (s *shard) start(a Arrival, expiry time.Duration) Decision {
	r := &record{
		// Cloned, so that a record does not keep a whole request buffer alive.
		id:          recordID{token: Token(strings.Clone(string(a.Token))), key: fleet.Key(strings.Clone(string(a.Key)))},
		fingerprint: a.Fingerprint,
		expiry:      expiry,
		running:     true,
		ended:       make(chan struct{}),
	}
	s.insert(r)
	return Decision{Verdict: Start, Ticket: &Ticket{shard: s, record: r}}
}

// Finish records the end of a started request and wakes its duplicates. The
// outcome NotRun promises that nothing was written to a server. Only the
// first call for a ticket counts. The response must not be modified later.
func (l *Ledger) Finish(now time.Time, t *Ticket, response exchange.Response) {
	s, r := t.shard, t.record
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(l.table.elapsed(now))
	if !r.running {
		return
	}
	r.running = false
	r.response = recorded(response)
	s.usage.headers.Add(headerSize(r.response.Headers))
	l.storeBody(r)
	close(r.ended)
	r.ended = nil
	if r.expired {
		// Queued again and not removed, so that its duplicates, which have
		// just been woken, still find it.
		r.expired = false
		heap.Push(&s.expiries, r)
	}
}

// storeBody counts the body of a response that ended, or drops it if it
// passes a limit.
func (l *Ledger) storeBody(r *record) {
	size := int64(len(r.response.Body))
	held := l.table.usage.bodies.Add(size)
	if size <= int64(l.options.MaxBodyBytes) && held <= l.options.MaxMemoryBytes {
		return
	}
	l.table.usage.bodies.Add(-size)
	r.response.Body = nil
	r.bodyDropped = size > 0
}

// Sweep drops at most limit expired records and returns how many it dropped.
func (l *Ledger) Sweep(now time.Time, limit int) int { return l.table.sweep(now, limit) }

// End stops all starts for good. Requests that are running can still finish.
func (l *Ledger) End(now time.Time) {
	for i := range l.table.shards {
		s := &l.table.shards[i]
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
	}
	// Set last, because an archive that answers "not run" must not exist while
	// a shard can still start that request.
	elapsed := l.table.elapsed(now)
	l.ending.CompareAndSwap(nil, &elapsed)
}

// NewArchive returns the archive that a successor fills by Import.
func NewArchive(home fleet.Member) *Archive {
	return &Archive{home: home, imports: imports{seen: make(map[int]bool)}}
}

// Import adds a batch of records of the archive's home. A batch may arrive
// twice. Batches of another home are ignored.
func (a *Archive) Import(now time.Time, batch Handover) {
	if batch.Home != a.home {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.origin.table == nil {
		a.origin = newOrigin(now, batch)
	}
	for _, r := range batch.Records {
		if !a.origin.add(r) {
			a.imports.damaged = true
		}
	}
	if batch.BatchIndex >= 0 && batch.BatchIndex < batch.BatchCount {
		a.imports.seen[batch.BatchIndex] = true
	}
	all := batch.BatchCount > 0 && len(a.imports.seen) == batch.BatchCount
	a.origin.complete = batch.Complete && all && !a.imports.damaged
}

// newOrigin takes the home's elapsed time from its first batch. The transfer
// makes the estimate late, so a token counts as valid a little too long;
// its records are kept as long, so the answer stays true.
func newOrigin(now time.Time, batch Handover) origin {
	t := newTable(now.Add(-batch.Elapsed))
	for i := range t.shards {
		t.shards[i].advance(batch.Elapsed)
	}
	return origin{
		table:     t,
		authority: newAuthority(batch.Home, batch.Secret),
		until:     batch.LastTokenExpiry,
	}
}

// add inserts one imported record and reports whether it was readable.
func (o *origin) add(r Record) bool {
	claims, genuine := o.authority.check(r.Token)
	if !genuine {
		return false
	}
	id := recordID{token: r.Token, key: r.Key}
	s := o.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[id] == nil {
		s.insert(&record{
			id:          id,
			fingerprint: r.Fingerprint,
			expiry:      claims.Expiry,
			response:    r.Response,
			bodyDropped: r.BodyDropped,
		})
		s.usage.bodies.Add(int64(len(r.Response.Body)))
		s.usage.headers.Add(headerSize(r.Response.Headers))
	}
	return true
}

// Sweep drops at most limit expired records and returns how many it dropped.
func (a *Archive) Sweep(now time.Time, limit int) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.origin.table == nil {
		return 0
	}
	return a.origin.table.sweep(now, limit)
}

package once

import (
	"container/heap"
	"io"
	"strings"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// maxDroppedPerArrival bounds the expired records that Begin drops from the
// shard of an arrival. It is more than one, so that a shard shrinks even without
// Sweep.
const maxDroppedPerArrival = 4

// NewLedger returns an empty ledger with a new secret. It fails if Options.Random
// fails.
func NewLedger(options Options) (*Ledger, error) {
	secret := make([]byte, secretSize)
	if _, err := io.ReadFull(options.Random, secret); err != nil {
		return nil, err
	}
	return &Ledger{
		options:   options,
		authority: newAuthority(options.Home, secret),
		table:     newTable(options.StartedAt),
	}, nil
}

// Mint issues a token for requests to a service. It returns ErrEnded after End,
// ErrMalformed if a name is too long for a token, and the error of
// Options.Random if that fails.
func (l *Ledger) Mint(now time.Time, service fleet.ServiceName) (Token, error) {
	if l.endedAt.Load() != nil {
		return "", ErrEnded
	}
	nonce, err := l.newNonce()
	if err != nil {
		return "", err
	}
	expiry := l.table.elapsed(now) + l.options.TokenTTL
	return l.authority.issue(Claims{Home: l.options.Home, Service: service, Expiry: expiry}, nonce)
}

func (l *Ledger) newNonce() ([]byte, error) {
	l.randomMu.Lock()
	defer l.randomMu.Unlock()
	nonce := make([]byte, nonceSize)
	_, err := io.ReadFull(l.options.Random, nonce)
	return nonce, err
}

// Begin records an arrival and decides whether it may start the request. After
// End it starts no request and decides like the ledger's archive.
func (l *Ledger) Begin(now time.Time, a Arrival) Decision {
	claims, refused := l.authority.validate(a)
	if refused != nil {
		return *refused
	}
	id := recordID{token: a.Token, key: a.Key}
	s := l.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(l.table.elapsed(now))
	if r := s.records[id]; r != nil {
		return r.decideDuplicate(a.Fingerprint)
	}
	s.dropExpired(maxDroppedPerArrival)
	if claims.Expiry <= s.latestElapsed {
		return refuse(exchange.TokenExpired, "the token has expired")
	}
	if s.ended {
		return refuse(exchange.Stopping, "the home of the token starts no more requests")
	}
	if l.isFull() {
		return refuse(exchange.RecordsFull, "the home cannot record another key")
	}
	return s.startRequest(a, claims.Expiry)
}

// isFull reports whether no further key can be recorded. Shards check it
// concurrently, so the limit can be exceeded by one record per shard.
func (l *Ledger) isFull() bool {
	u := &l.table.usage
	return u.records.Load() >= int64(l.options.MaxRecords) || u.headers.Load() >= l.options.MaxMemoryBytes
}

// startRequest inserts the record of a first arrival and returns the decision to
// start it.
func (s *shard) startRequest(a Arrival, expiry time.Duration) Decision {
	r := &record{
		// The strings are cloned, since a record would otherwise keep the buffer of
		// the request in memory.
		id:          recordID{token: Token(strings.Clone(string(a.Token))), key: fleet.Key(strings.Clone(string(a.Key)))},
		fingerprint: a.Fingerprint,
		expiry:      expiry,
		running:     true,
		finished:    make(chan struct{}),
	}
	s.insert(r)
	return Decision{Verdict: Start, Ticket: &Ticket{shard: s, record: r}}
}

// Finish records the response of a started request and wakes its duplicates.
// The outcome NotRun guarantees that nothing was written to a server. Further
// calls for the same ticket have no effect. The response must not be modified
// later.
func (l *Ledger) Finish(now time.Time, t *Ticket, response exchange.Response) {
	s, r := t.shard, t.record
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock(l.table.elapsed(now))
	if !r.running {
		return
	}
	r.running = false
	r.response = storedResponse(response)
	s.usage.headers.Add(headerSize(r.response.Headers))
	l.storeBody(r)
	close(r.finished)
	r.finished = nil
	if r.expiredWhileRunning {
		// The record is queued again and not removed, so that the duplicates woken
		// above still find it.
		r.expiredWhileRunning = false
		heap.Push(&s.expiries, r)
	}
}

// storeBody adds the response body of a finished record to the usage, or drops
// the body if it exceeds a limit.
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

// End permanently stops starting requests. Running requests can still finish.
func (l *Ledger) End(now time.Time) {
	for i := range l.table.shards {
		s := &l.table.shards[i]
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
	}
	// endedAt is set after all shards have ended: an archive reports unrecorded
	// requests as "not run", so it must not exist while a shard can still start
	// one.
	elapsed := l.table.elapsed(now)
	l.endedAt.CompareAndSwap(nil, &elapsed)
}

// NewArchive returns an empty archive for the records of a home, to be filled by
// Import.
func NewArchive(home fleet.Member) *Archive {
	return &Archive{home: home, imports: importState{received: make(map[int]bool)}}
}

// Import adds a batch of records of the archive's home. It is idempotent and
// ignores batches of another home.
func (a *Archive) Import(now time.Time, batch Handover) {
	if batch.Home != a.home {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.homeRecords.table == nil {
		a.homeRecords = newHomeRecords(now, batch)
	}
	for _, r := range batch.Records {
		if !a.homeRecords.importRecord(r) {
			a.imports.unreadable = true
		}
	}
	if batch.BatchIndex >= 0 && batch.BatchIndex < batch.BatchCount {
		a.imports.received[batch.BatchIndex] = true
	}
	allReceived := batch.BatchCount > 0 && len(a.imports.received) == batch.BatchCount
	a.homeRecords.complete = batch.Complete && allReceived && !a.imports.unreadable
}

// newHomeRecords returns empty records whose clock starts at the elapsed time in
// the home's first batch. This clock is behind the home's by the duration of the
// transfer, so a token is valid slightly too long here. Its records are kept
// equally long, so decisions stay correct.
func newHomeRecords(now time.Time, batch Handover) homeRecords {
	t := newTable(now.Add(-batch.Elapsed))
	for i := range t.shards {
		t.shards[i].advanceClock(batch.Elapsed)
	}
	return homeRecords{
		table:           t,
		authority:       newAuthority(batch.Home, batch.Secret),
		lastTokenExpiry: batch.LastTokenExpiry,
	}
}

// importRecord inserts one imported record. It returns false if the token of the
// record is invalid.
func (o *homeRecords) importRecord(r Record) bool {
	claims, valid := o.authority.verify(r.Token)
	if !valid {
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
	if a.homeRecords.table == nil {
		return 0
	}
	return a.homeRecords.table.sweep(now, limit)
}

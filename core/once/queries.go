package once

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Home returns the incarnation whose records the ledger holds.
func (l *Ledger) Home() fleet.Member { return l.options.Home }

// Len counts the records held.
func (l *Ledger) Len() int { return int(l.table.usage.records.Load()) }

// Memory counts the bytes of response bodies and headers held.
func (l *Ledger) Memory() int64 {
	return l.table.usage.bodies.Load() + l.table.usage.headers.Load()
}

// Archive returns the records for reading after End; nil before it.
func (l *Ledger) Archive() *Archive {
	ending := l.ending.Load()
	if ending == nil {
		return nil
	}
	return &Archive{
		home: l.options.Home,
		origin: origin{
			table:     l.table,
			authority: l.authority,
			complete:  true,
			until:     *ending + l.options.Life,
		},
	}
}

// Home returns the incarnation whose records the archive holds.
func (a *Archive) Home() fleet.Member { return a.home }

// Answer answers an arrival for the ended incarnation: Replay, Wait or Refuse.
// A key that is not recorded was not run if the records are complete and its
// token has not expired; otherwise its outcome is unknown.
func (a *Archive) Answer(now time.Time, arrival Arrival) Decision {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.origin.table == nil || len(a.origin.authority.secret) == 0 {
		return refuse(exchange.HomeLost, "the records of the home have not arrived")
	}
	return a.origin.answer(now, arrival)
}

func (o *origin) answer(now time.Time, arrival Arrival) Decision {
	claims, refused := o.authority.admit(arrival)
	if refused != nil {
		return *refused
	}
	id := recordID{token: arrival.Token, key: arrival.Key}
	s := o.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[id]; r != nil {
		return r.decide(arrival.Fingerprint)
	}
	if claims.Expiry <= max(s.clock, o.table.elapsed(now)) {
		return refuse(exchange.TokenExpired, "the token has expired")
	}
	if !o.complete {
		return refuse(exchange.HomeLost, "the records of the home are incomplete")
	}
	return refuse(exchange.Stopping, "the home of the token stopped before the request arrived")
}

// Export returns all records in batches of at most size records, at least one
// batch. Requests that are still running are exported as unknown.
func (a *Archive) Export(now time.Time, size int) []Handover {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.origin.table == nil {
		return nil
	}
	elapsed := a.origin.table.elapsed(now)
	var records []Record
	for i := range a.origin.table.shards {
		records, elapsed = a.origin.table.shards[i].export(records, elapsed)
	}
	return a.origin.split(Handover{Home: a.home, Elapsed: elapsed}, records, size)
}

// export appends the shard's records, and returns the later of elapsed and
// the shard's clock, up to which records may have been dropped.
func (s *shard) export(records []Record, elapsed time.Duration) ([]Record, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		records = append(records, r.export())
	}
	return records, max(elapsed, s.clock)
}

func (r *record) export() Record {
	response := r.response
	if r.running {
		response = exchange.Refuse(exchange.HomeLost, "the request was running when its home stopped")
	}
	return Record{
		Token:       r.id.token,
		Key:         r.id.key,
		Fingerprint: r.fingerprint,
		Response:    response,
		BodyDropped: r.bodyDropped,
	}
}

// split fills copies of template with up to size records each.
func (o *origin) split(template Handover, records []Record, size int) []Handover {
	size = max(size, 1)
	template.Secret = o.authority.secret
	template.Until = o.until
	template.Complete = o.complete
	template.Batches = max(1, (len(records)+size-1)/size)
	batches := make([]Handover, template.Batches)
	for i := range batches {
		batches[i] = template
		batches[i].Batch = i
		batches[i].Records = records[min(i*size, len(records)):min((i+1)*size, len(records))]
	}
	return batches
}

// Obsolete reports whether every token of the incarnation has expired, so
// that the archive is no longer needed.
func (a *Archive) Obsolete(now time.Time) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.origin.table != nil && a.origin.table.elapsed(now) >= a.origin.until
}

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
	return l.table.usage.memory()
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
			until:     *ending + l.options.TokenTTL,
		},
	}
}

// Home returns the incarnation whose records the archive holds.
func (a *Archive) Home() fleet.Member { return a.home }

// Decide answers an arrival for the ended incarnation: Replay, Wait or Refuse.
// A key that is not recorded was not run if the records are complete and its
// token has not expired; otherwise its outcome is unknown.
func (a *Archive) Decide(now time.Time, arrival Arrival) Decision {
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

// Len counts the records held, so that a successor can bound what it accepts.
func (a *Archive) Len() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.origin.table == nil {
		return 0
	}
	return int(a.origin.table.usage.records.Load())
}

// Memory counts the bytes of response bodies and headers held.
func (a *Archive) Memory() int64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.origin.table == nil {
		return 0
	}
	return a.origin.table.usage.memory()
}

// BatchLimit bounds one batch of a handover. A batch holds at least one
// record, so a single record may pass Bytes.
type BatchLimit struct {
	Records int
	// Bytes counts response bodies and headers.
	Bytes int64
}

// Export returns all records in batches, at least one batch. Requests that
// are still running are exported as unknown.
func (a *Archive) Export(now time.Time, limit BatchLimit) []Handover {
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
	return a.origin.batches(Handover{Home: a.home, Elapsed: elapsed}, records, limit)
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

// batches fills copies of template with records up to the limit.
func (o *origin) batches(template Handover, records []Record, limit BatchLimit) []Handover {
	template.Secret = o.authority.secret
	template.LastTokenExpiry = o.until
	template.Complete = o.complete
	var list []Handover
	for len(list) == 0 || len(records) > 0 {
		n := limit.fit(records)
		batch := template
		batch.BatchIndex = len(list)
		batch.Records = records[:n]
		list = append(list, batch)
		records = records[n:]
	}
	for i := range list {
		list[i].BatchCount = len(list)
	}
	return list
}

// fit returns how many of the first records go into one batch.
func (l BatchLimit) fit(records []Record) int {
	bytes := int64(0)
	for i, r := range records {
		bytes += int64(len(r.Response.Body)) + headerSize(r.Response.Headers)
		if i > 0 && (i >= l.Records || bytes > l.Bytes) {
			return i
		}
	}
	return len(records)
}

// Obsolete reports whether every token of the incarnation has expired, so
// that the archive is no longer needed.
func (a *Archive) Obsolete(now time.Time) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.origin.table != nil && a.origin.table.elapsed(now) >= a.origin.until
}

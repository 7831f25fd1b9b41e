package once

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Home returns the incarnation whose records the ledger holds.
func (l *Ledger) Home() fleet.Member { return l.options.Home }

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.table.usage.records.Load()) }

// Memory returns the bytes of all stored response bodies and headers.
func (l *Ledger) Memory() int64 {
	return l.table.usage.memory()
}

// Archive returns the records for reading; nil before End was called.
func (l *Ledger) Archive() *Archive {
	endedAt := l.endedAt.Load()
	if endedAt == nil {
		return nil
	}
	return &Archive{
		home: l.options.Home,
		homeRecords: homeRecords{
			table:           l.table,
			authority:       l.authority,
			complete:        true,
			lastTokenExpiry: *endedAt + l.options.TokenTTL,
		},
	}
}

// Home returns the incarnation whose records the archive holds.
func (a *Archive) Home() fleet.Member { return a.home }

// Decide decides about an arrival for the ended incarnation; the verdict is
// Replay, Wait or Refuse. An arrival without a record is refused: as not run if
// the records are complete and its token has not expired, else with an unknown
// outcome.
func (a *Archive) Decide(now time.Time, arrival Arrival) Decision {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.homeRecords.table == nil || len(a.homeRecords.authority.secret) == 0 {
		return refuse(exchange.HomeLost, "the records of the home have not arrived")
	}
	return a.homeRecords.decide(now, arrival)
}

func (o *homeRecords) decide(now time.Time, arrival Arrival) Decision {
	claims, refused := o.authority.validate(arrival)
	if refused != nil {
		return *refused
	}
	id := recordID{token: arrival.Token, key: arrival.Key}
	s := o.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[id]; r != nil {
		return r.decideDuplicate(arrival.Fingerprint)
	}
	if claims.Expiry <= max(s.latestElapsed, o.table.elapsed(now)) {
		return refuse(exchange.TokenExpired, "the token has expired")
	}
	if !o.complete {
		return refuse(exchange.HomeLost, "the records of the home are incomplete")
	}
	return refuse(exchange.Stopping, "the home of the token stopped before the request arrived")
}

// Len returns the number of records, by which a successor bounds its imports.
func (a *Archive) Len() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.homeRecords.table == nil {
		return 0
	}
	return int(a.homeRecords.table.usage.records.Load())
}

// Memory returns the bytes of all stored response bodies and headers.
func (a *Archive) Memory() int64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.homeRecords.table == nil {
		return 0
	}
	return a.homeRecords.table.usage.memory()
}

// BatchLimit bounds one batch of a handover. A batch has at least one record, so
// a single record may exceed Bytes.
type BatchLimit struct {
	Records int
	// Bytes bounds the response bodies and headers.
	Bytes int64
}

// Export returns all records in one or more batches. Requests that are still
// running are exported with an unknown outcome.
func (a *Archive) Export(now time.Time, limit BatchLimit) []Handover {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.homeRecords.table == nil {
		return nil
	}
	elapsed := a.homeRecords.table.elapsed(now)
	var records []Record
	for i := range a.homeRecords.table.shards {
		records, elapsed = a.homeRecords.table.shards[i].exportRecords(records, elapsed)
	}
	return a.homeRecords.splitIntoBatches(Handover{Home: a.home, Elapsed: elapsed}, records, limit)
}

// exportRecords appends the shard's records to records. It also returns the later
// of elapsed and the shard's latest elapsed time, up to which expired records may
// have been dropped.
func (s *shard) exportRecords(records []Record, elapsed time.Duration) ([]Record, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		records = append(records, r.export())
	}
	return records, max(elapsed, s.latestElapsed)
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

// splitIntoBatches distributes the records over copies of template, each up to
// the limit.
func (o *homeRecords) splitIntoBatches(template Handover, records []Record, limit BatchLimit) []Handover {
	template.Secret = o.authority.secret
	template.LastTokenExpiry = o.lastTokenExpiry
	template.Complete = o.complete
	var batches []Handover
	for len(batches) == 0 || len(records) > 0 {
		n := limit.countFitting(records)
		batch := template
		batch.BatchIndex = len(batches)
		batch.Records = records[:n]
		batches = append(batches, batch)
		records = records[n:]
	}
	for i := range batches {
		batches[i].BatchCount = len(batches)
	}
	return batches
}

// countFitting returns how many records from the start of the list fit into one
// batch.
func (l BatchLimit) countFitting(records []Record) int {
	bytes := int64(0)
	for i, r := range records {
		bytes += int64(len(r.Response.Body)) + headerSize(r.Response.Headers)
		if i > 0 && (i >= l.Records || bytes > l.Bytes) {
			return i
		}
	}
	return len(records)
}

// Obsolete reports whether all tokens of the incarnation have expired, so that
// the archive can be removed.
func (a *Archive) Obsolete(now time.Time) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.homeRecords.table != nil && a.homeRecords.table.elapsed(now) >= a.homeRecords.lastTokenExpiry
}

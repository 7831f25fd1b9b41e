package once

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// model records what happened to each request, next to the code under test: a
// home, a successor of the home, and a successor of the successor.
type model struct {
	now        time.Time
	ledger     *Ledger
	successors []*Archive
	arrivals   []Arrival
	tickets    map[Arrival]*Ticket
	starts     map[recordID]int
	// mayHaveRun holds the requests that may have run, and answeredNotRun those
	// that got a response with the outcome "not run".
	mayHaveRun      map[Arrival]bool
	refusedAsNotRun map[Arrival]bool
}

func newModel(t *rapid.T) *model {
	return &model{
		now:             start,
		ledger:          newTestLedger(t, func(o *Options) { o.MaxRecords = 12 }),
		tickets:         make(map[Arrival]*Ticket),
		starts:          make(map[recordID]int),
		mayHaveRun:      make(map[Arrival]bool),
		refusedAsNotRun: make(map[Arrival]bool),
	}
}

func (m *model) arrival(t *rapid.T) Arrival {
	if len(m.arrivals) == 0 {
		t.Skip("no token yet")
	}
	return rapid.SampledFrom(m.arrivals).Draw(t, "arrival")
}

// checkDecision compares a decision with what happened to the request.
func (m *model) checkDecision(t *rapid.T, a Arrival, d Decision) {
	switch {
	case d.Verdict == Start:
		id := recordID{token: a.Token, key: a.Key}
		m.starts[id]++
		if m.starts[id] > 1 {
			t.Fatalf("key %s started twice", a.Key)
		}
		if m.refusedAsNotRun[a] {
			t.Fatalf("key %s started after a response with the outcome not run", a.Key)
		}
		m.tickets[a] = d.Ticket
		m.mayHaveRun[a] = true
	case d.Verdict == Refuse && d.Response.Outcome == fleet.NotRun:
		if m.mayHaveRun[a] {
			t.Fatalf("key %s got the outcome not run (%s) but may have run", a.Key, d.Response.Code)
		}
		m.refusedAsNotRun[a] = true
	}
}

// mint adds arrivals with two keys under a new token. One of the keys is also used
// for a second, different request.
func (m *model) mint(t *rapid.T) {
	token, err := m.ledger.Mint(m.now, service)
	if err != nil {
		t.Skip("ended")
	}
	m.arrivals = append(
		m.arrivals,
		Arrival{Token: token, Key: "a", Service: service, Fingerprint: Fingerprint{1}},
		Arrival{Token: token, Key: "a", Service: service, Fingerprint: Fingerprint{2}},
		Arrival{Token: token, Key: "b", Service: service, Fingerprint: Fingerprint{1}},
	)
}

// begin passes an arrival to the ledger, sometimes with a time that was read much
// earlier.
func (m *model) begin(t *rapid.T) {
	a := m.arrival(t)
	late := time.Duration(rapid.IntRange(0, 90).Draw(t, "late")) * time.Second
	m.checkDecision(t, a, m.ledger.Begin(m.now.Add(-late), a))
}

func (m *model) finish(t *rapid.T) {
	a := m.arrival(t)
	if m.tickets[a] == nil {
		t.Skip("not running")
	}
	response := rapid.SampledFrom([]exchange.Response{
		done("ok"), exchange.Refuse(exchange.Overloaded, ""), exchange.Refuse(exchange.UpstreamLost, ""),
	}).Draw(t, "response")
	if response.Outcome == fleet.NotRun {
		m.mayHaveRun[a] = false
		m.refusedAsNotRun[a] = true
	}
	m.ledger.Finish(m.now, m.tickets[a], response)
	m.tickets[a] = nil
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

func (m *model) sweep(t *rapid.T) {
	m.ledger.Sweep(m.now, rapid.IntRange(1, 5).Draw(t, "limit"))
	for _, archive := range m.successors {
		archive.Sweep(m.now, 2)
	}
}

func (m *model) end(*rapid.T) { m.ledger.End(m.now) }

// handover imports some or all batches of the last archive at a successor, some
// time after they were exported.
func (m *model) handover(t *rapid.T) {
	last := m.ledger.Archive()
	if last == nil || len(m.successors) == 2 {
		t.Skip("nothing to hand over")
	}
	if len(m.successors) > 0 {
		last = m.successors[0]
	}
	successor := NewArchive(home)
	batches := last.Export(m.now, BatchLimit{Records: 2, Bytes: 1000})
	m.advance(t)
	for _, batch := range batches {
		if rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
			successor.Import(m.now, batch)
		}
	}
	m.successors = append(m.successors, successor)
}

// decideByArchive passes an arrival to an archive, the home's own or a successor's.
func (m *model) decideByArchive(t *rapid.T) {
	a := m.arrival(t)
	archives := m.successors
	if own := m.ledger.Archive(); own != nil {
		archives = append([]*Archive{own}, archives...)
	}
	if len(archives) == 0 {
		t.Skip("no archive")
	}
	late := time.Duration(rapid.IntRange(0, 90).Draw(t, "late")) * time.Second
	d := rapid.SampledFrom(archives).Draw(t, "archive").Decide(m.now.Add(-late), a)
	if d.Verdict == Start {
		t.Fatal("an archive started a request")
	}
	m.checkDecision(t, a, d)
}

// TestAtMostOnce guards against a second start, and against the outcome "not run"
// for a request that started, in any order of arrivals, ends, expiry and
// handovers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.mint(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": m.mint, "begin": m.begin, "begin again": m.begin, "finish": m.finish,
			"advance": m.advance, "sweep": m.sweep, "end": m.end, "handover": m.handover, "archive": m.decideByArchive,
		})
	})
}

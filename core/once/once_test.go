package once

import (
	"crypto/rand"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	home  = fleet.Member{ID: "i1", Incarnation: 7}
)

const service fleet.ServiceName = "credit-svc"

func newTestLedger(t require.TestingT, change func(*Options)) *Ledger {
	o := Options{
		Home: home, StartedAt: start, Random: rand.Reader,
		TokenTTL: time.Minute, MaxRecords: 1000, MaxBodyBytes: 100, MaxMemoryBytes: 1000,
	}
	if change != nil {
		change(&o)
	}
	l, err := NewLedger(o)
	require.NoError(t, err)
	return l
}

func newArrival(t require.TestingT, l *Ledger, now time.Time, key fleet.Key) Arrival {
	token, err := l.Mint(now, service)
	require.NoError(t, err)
	return Arrival{Token: token, Key: key, Service: service, Fingerprint: Fingerprint{1}}
}

func done(body string) exchange.Response {
	return exchange.Response{Outcome: fleet.Done, Status: 200, Body: []byte(body)}
}

// TestDuplicate guards against a second start, and against a response that
// contradicts the response of the first arrival.
func TestDuplicate(t *testing.T) {
	tests := []struct {
		name    string
		end     exchange.Response
		verdict Verdict
		outcome fleet.Outcome
		code    exchange.Code
	}{
		{"done", done("ok"), Replay, fleet.Done, ""},
		{"refused", exchange.Refuse(exchange.Overloaded, ""), Refuse, fleet.NotRun, exchange.Refused},
		{"unknown", exchange.Refuse(exchange.UpstreamTimeout, ""), Refuse, fleet.Unknown, exchange.UpstreamTimeout},
		{"unknown without a code", exchange.Response{}, Refuse, fleet.Unknown, exchange.UpstreamLost},
		{"not run with an uncertain code", exchange.Response{Outcome: fleet.NotRun, Code: exchange.UpstreamLost}, Refuse, fleet.Unknown, exchange.UpstreamLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(t, nil)
			a := newArrival(t, l, start, "k")
			first := l.Begin(start, a)
			require.Equal(t, Start, first.Verdict)
			waiting := l.Begin(start, a)
			require.Equal(t, Wait, waiting.Verdict)
			l.Finish(start, first.Ticket, tt.end)
			l.Finish(start, first.Ticket, done("late second end"))
			<-waiting.Finished
			d := l.Begin(start, a)
			require.Equal(t, tt.verdict, d.Verdict)
			require.Equal(t, tt.outcome, d.Response.Outcome)
			require.Equal(t, tt.code, d.Response.Code)
			require.Equal(t, tt.end.Body, d.Response.Body)
		})
	}
}

// TestRefusal guards against the start of a request with an invalid token or key,
// and against a refusal with an incorrect outcome.
func TestRefusal(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*Arrival)
		after   time.Duration
		code    exchange.Code
		outcome fleet.Outcome
	}{
		{"foreign token", func(a *Arrival) { a.Token = "AAAA" }, 0, exchange.TokenInvalid, fleet.Unknown},
		{"altered MAC", func(a *Arrival) { a.Token = alterByte(a.Token, len(a.Token)-2) }, 0, exchange.TokenInvalid, fleet.Unknown},
		{"altered expiry", func(a *Arrival) { a.Token = alterByte(a.Token, 14) }, 0, exchange.TokenInvalid, fleet.Unknown},
		{"line break in the token", func(a *Arrival) { a.Token += "\n" }, 0, exchange.TokenInvalid, fleet.Unknown},
		{"other service", func(a *Arrival) { a.Service = "bundle-svc" }, 0, exchange.BadRequest, fleet.NotRun},
		{"no key", func(a *Arrival) { a.Key = "" }, 0, exchange.BadRequest, fleet.NotRun},
		{"long key", func(a *Arrival) { a.Key = fleet.Key(strings.Repeat("k", 201)) }, 0, exchange.BadRequest, fleet.NotRun},
		{"other request", func(a *Arrival) { a.Fingerprint = Fingerprint{2} }, 0, exchange.KeyReused, fleet.NotRun},
		{"new key, expired token", func(a *Arrival) { a.Key = "new" }, time.Minute, exchange.TokenExpired, fleet.Unknown},
		{"records full", func(a *Arrival) { a.Key = "new" }, 0, exchange.RecordsFull, fleet.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(t, func(o *Options) { o.MaxRecords = 1 })
			a := newArrival(t, l, start, "k")
			require.Equal(t, Start, l.Begin(start, a).Verdict)
			tt.change(&a)
			d := l.Begin(start.Add(tt.after), a)
			require.Equal(t, Refuse, d.Verdict)
			require.Equal(t, tt.code, d.Response.Code)
			require.Equal(t, tt.outcome, d.Response.Outcome)
		})
	}
}

func alterByte(token Token, index int) Token {
	b := []byte(token)
	if b[index] == 'A' {
		b[index] = 'B'
	} else {
		b[index] = 'A'
	}
	return Token(b)
}

// TestLateClock guards against a second start by a goroutine that read the time
// before the record of the first one expired and was dropped.
func TestLateClock(t *testing.T) {
	l := newTestLedger(t, nil)
	a := newArrival(t, l, start, "k")
	l.Finish(start, l.Begin(start, a).Ticket, done(""))
	require.Equal(t, 1, l.Sweep(start.Add(time.Minute), 10))
	require.Zero(t, l.Len())
	d := l.Begin(start, a)
	require.Equal(t, Refuse, d.Verdict)
	require.Equal(t, exchange.TokenExpired, d.Response.Code)
}

// TestBounds guards against responses and records that use more memory than
// allowed, and against a dropped body that is not reported.
func TestBounds(t *testing.T) {
	tests := []struct {
		name    string
		body    int
		memory  int64
		dropped bool
	}{
		{"fits", 100, 1000, false},
		{"empty", 0, 1000, false},
		{"body too large", 101, 1000, true},
		{"memory used up", 100, 150, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(t, func(o *Options) { o.MaxMemoryBytes = tt.memory })
			now := start
			var last Arrival
			for _, key := range []fleet.Key{"a", "b"} {
				last = newArrival(t, l, now, key)
				l.Finish(now, l.Begin(now, last).Ticket, done(strings.Repeat("x", tt.body)))
			}
			d := l.Begin(now, last)
			require.Equal(t, Replay, d.Verdict)
			require.Equal(t, tt.dropped, d.BodyDropped)
			require.LessOrEqual(t, l.Memory(), tt.memory)
			require.Equal(t, 2, l.Sweep(now.Add(time.Hour), 10))
			require.Zero(t, l.Memory(), "dropped records must free their memory")
		})
	}
}

// TestParseClaims guards against a token whose home other instances cannot read,
// and against malformed tokens that are accepted.
func TestParseClaims(t *testing.T) {
	l := newTestLedger(t, nil)
	token, err := l.Mint(start.Add(time.Second), service)
	require.NoError(t, err)
	claims, err := ParseClaims(token)
	require.NoError(t, err)
	require.Equal(t, Claims{Home: home, Service: service, Expiry: 61 * time.Second}, claims)
	for _, bad := range []Token{"", "A", "!", token[:len(token)-8], Token(strings.Repeat("A", 600))} {
		_, err := ParseClaims(bad)
		require.ErrorIs(t, err, ErrMalformed)
	}
	other := newTestLedger(t, nil)
	_, valid := other.authority.verify(token)
	require.False(t, valid, "a new secret must not accept old tokens")
}

// TestArchive guards against an archive that starts a request, or that reports
// "not run" without complete records.
func TestArchive(t *testing.T) {
	tests := []struct {
		name   string
		change func([]Handover) []Handover
		after  time.Duration
		// Codes for a key that is recorded as done, one that was running, and
		// one that is not recorded.
		done, running, absent exchange.Code
	}{
		{"complete", nil, 0, "", exchange.HomeLost, exchange.Stopping},
		{"expired", nil, time.Minute, "", exchange.HomeLost, exchange.TokenExpired},
		{"batch missing", func(b []Handover) []Handover { return b[:1] }, 0, "", exchange.HomeLost, exchange.HomeLost},
		{"declared incomplete", func(b []Handover) []Handover {
			b[0].Complete, b[1].Complete = false, false
			return b
		}, 0, "", exchange.HomeLost, exchange.HomeLost},
		{"batch repeated", func(b []Handover) []Handover { return append(b, b...) }, 0, "", exchange.HomeLost, exchange.Stopping},
		{"no secret", func(b []Handover) []Handover {
			b[0].Secret, b[1].Secret = nil, nil
			return b
		}, 0, exchange.HomeLost, exchange.HomeLost, exchange.HomeLost},
		{"record unreadable", func(b []Handover) []Handover {
			b[0].Records = append(b[0].Records[:1:1], Record{Token: "x"})
			return b
		}, 0, "", exchange.HomeLost, exchange.HomeLost},
		{"nothing arrived", func([]Handover) []Handover { return nil }, 0, exchange.HomeLost, exchange.HomeLost, exchange.HomeLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(t, nil)
			finished, running, absent := newArrival(t, l, start, "done"), newArrival(t, l, start, "running"), newArrival(t, l, start, "absent")
			l.Finish(start, l.Begin(start, finished).Ticket, done("ok"))
			require.Equal(t, Start, l.Begin(start, running).Verdict)
			require.Nil(t, l.Archive())
			l.End(start)
			_, err := l.Mint(start, service)
			require.ErrorIs(t, err, ErrEnded)
			require.Equal(t, exchange.Stopping, l.Begin(start, absent).Response.Code)
			batches := l.Archive().Export(start, BatchLimit{Records: 1, Bytes: 1000})
			require.Len(t, batches, 2)
			if batches[0].Records[0].Key != "done" {
				batches[0].Records, batches[1].Records = batches[1].Records, batches[0].Records
			}
			if tt.change != nil {
				batches = tt.change(batches)
			}
			archive := NewArchive(home)
			for _, b := range batches {
				archive.Import(start, b)
			}
			now := start.Add(tt.after)
			require.Equal(t, tt.done, archive.Decide(now, finished).Response.Code)
			require.Equal(t, tt.running, archive.Decide(now, running).Response.Code)
			require.Equal(t, tt.absent, archive.Decide(now, absent).Response.Code)
			require.Equal(t, tt.after >= time.Minute, archive.Obsolete(now))
		})
	}
}

// TestExportBatches guards against batches that are too large for one message.
func TestExportBatches(t *testing.T) {
	tests := []struct {
		name    string
		limit   BatchLimit
		batches int
	}{
		{"all in one", BatchLimit{Records: 10, Bytes: 1000}, 1},
		{"by records", BatchLimit{Records: 2, Bytes: 1000}, 3},
		{"by bytes", BatchLimit{Records: 10, Bytes: 45}, 2},
		{"one record above the limit", BatchLimit{Records: 10, Bytes: 1}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(t, nil)
			for range 5 {
				l.Finish(start, l.Begin(start, newArrival(t, l, start, "k")).Ticket, done("fifteen bytes.."))
			}
			l.End(start)
			successor := NewArchive(home)
			batches := l.Archive().Export(start, tt.limit)
			require.Len(t, batches, tt.batches)
			for _, b := range batches {
				successor.Import(start, b)
			}
			require.Equal(t, 5, successor.Len())
			require.Equal(t, int64(75), successor.Memory())
		})
	}
}

// TestConcurrentArrivals guards against two starts of one key if its duplicates
// arrive concurrently with End and Sweep.
func TestConcurrentArrivals(t *testing.T) {
	l := newTestLedger(t, nil)
	a := newArrival(t, l, start, "k")
	var starts atomic.Int32
	var group sync.WaitGroup
	for i := range 32 {
		group.Go(func() {
			if i == 20 {
				l.End(start)
				return
			}
			d := l.Begin(start, a)
			switch d.Verdict {
			case Start:
				starts.Add(1)
				l.Finish(start, d.Ticket, done("ok"))
			case Wait:
				<-d.Finished
			}
			l.Sweep(start, 1)
		})
	}
	group.Wait()
	require.LessOrEqual(t, starts.Load(), int32(1))
}

// BenchmarkLedger measures one protected request from Begin to Finish.
func BenchmarkLedger(b *testing.B) {
	l := newTestLedger(b, func(o *Options) { o.MaxRecords, o.MaxMemoryBytes = 1<<30, 1<<40 })
	token, err := l.Mint(start, service)
	require.NoError(b, err)
	b.ReportAllocs()
	n := atomic.Int64{}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := Arrival{Token: token, Key: fleet.Key(strconv.FormatInt(n.Add(1), 10)), Service: service, Fingerprint: Fingerprint{1}}
			l.Finish(start, l.Begin(start, a).Ticket, done("ok"))
		}
	})
}

// BenchmarkRecordMemory reports the heap size of a finished record with a response
// body of 512 bytes.
func BenchmarkRecordMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	const records = 20_000
	for b.Loop() {
		before := heap()
		l := newTestLedger(b, func(o *Options) { o.MaxRecords, o.MaxMemoryBytes, o.MaxBodyBytes = 1<<30, 1<<40, 64<<10 })
		token, err := l.Mint(start, service)
		require.NoError(b, err)
		for i := range records {
			a := Arrival{Token: token, Key: fleet.Key(fmt.Sprintf("%032d", i)), Service: service, Fingerprint: Fingerprint{1}}
			l.Finish(start, l.Begin(start, a).Ticket, done(strings.Repeat("x", 512)))
		}
		b.ReportMetric(float64(heap()-before)/records, "heap-bytes/record")
		require.Equal(b, records, l.Len())
	}
}

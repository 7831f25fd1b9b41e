package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/once"
)

// Engine serves requests of callers and peers. It is safe for concurrent use.
type Engine struct {
	options Options
	ledger  atomic.Pointer[once.Ledger]
	// archives maps ended incarnations (fleet.Member) to their *once.Archive.
	archives sync.Map
	loads    loadTable
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns an engine that issues tokens for the incarnation self. It fails
// if the secret source fails.
func New(options Options, self fleet.Member) (*Engine, error) {
	e := &Engine{options: options}
	if err := e.Rejoin(self); err != nil {
		return nil, err
	}
	return e, nil
}

// Rejoin ends the ledger of the previous incarnation and opens one for self.
// The ended ledger stays available as an archive, which replays the responses
// to duplicates of its keys.
func (e *Engine) Rejoin(self fleet.Member) error {
	now := e.options.Clock.Now()
	ledger, err := once.NewLedger(once.Options{
		Home:           self,
		StartedAt:      now,
		Random:         e.options.SecretSource,
		TokenTTL:       e.tokenTTL(),
		MaxRecords:     e.options.RecordLimits.MaxRecords,
		MaxBodyBytes:   e.options.RecordLimits.MaxBodyBytes,
		MaxMemoryBytes: e.options.RecordLimits.MaxMemoryBytes,
	})
	if err != nil {
		return err
	}
	previous := e.ledger.Swap(ledger)
	if previous != nil {
		previous.End(now)
		e.archives.Store(previous.Home(), previous.Archive())
	}
	return nil
}

// StopProtected permanently stops starting protected requests and returns the
// ended ledger, whose records go to a successor.
func (e *Engine) StopProtected() *once.Ledger {
	ledger := e.ledger.Load()
	ledger.End(e.options.Clock.Now())
	return ledger
}

// SetStopping marks the start of a planned stop, during which callers are
// directed to other instances.
func (e *Engine) SetStopping() { e.stopping.Store(true) }

// ImportRecords stores a batch of records handed over by another instance. It
// returns false, and stores nothing, if the imported records would exceed the
// record limits.
func (e *Engine) ImportRecords(handover once.Handover) bool {
	count, memory := e.importedUsage()
	for _, record := range handover.Records {
		memory += int64(len(record.Response.Body))
	}
	if count+len(handover.Records) > e.options.RecordLimits.MaxRecords || memory > e.options.RecordLimits.MaxMemoryBytes {
		return false
	}
	archive, _ := e.archives.LoadOrStore(handover.Home, once.NewArchive(handover.Home))
	archive.(*once.Archive).Import(e.options.Clock.Now(), handover)
	return true
}

// Sweep drops at most limit expired records from the ledger and from each
// archive, the archives whose tokens have all expired, and outdated loads of
// owners.
func (e *Engine) Sweep(limit int) {
	now := e.options.Clock.Now()
	e.loads.removeExpired(now)
	e.ledger.Load().Sweep(now, limit)
	e.archives.Range(func(home, archive any) bool {
		a := archive.(*once.Archive)
		a.Sweep(now, limit)
		if a.Obsolete(now) {
			e.archives.Delete(home)
		}
		return true
	})
}

// Mint issues a token with this incarnation as its home. It fails once
// protected requests have been stopped.
func (e *Engine) Mint(service fleet.ServiceName) (once.Token, error) {
	return e.ledger.Load().Mint(e.options.Clock.Now(), service)
}

func (e *Engine) tokenTTL() time.Duration {
	ttl := e.options.Control.View().Config.Document().Limits.TokenTTL
	if ttl <= 0 {
		return defaultTokenTTL
	}
	return ttl
}

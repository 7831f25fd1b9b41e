package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/once"
)

// Engine carries requests. It is safe for concurrent use.
type Engine struct {
	options Options
	ledger  atomic.Pointer[once.Ledger]
	// archives holds the records of ended incarnations by their member.
	archives sync.Map
	loads    loadTable
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns an engine that issues tokens for the given incarnation. It fails
// if the source of secrets does.
func New(options Options, self fleet.Member) (*Engine, error) {
	e := &Engine{options: options}
	if err := e.Rejoin(self); err != nil {
		return nil, err
	}
	return e, nil
}

// Rejoin ends the records of the incarnation before and starts those of a new
// one. The ended records still answer for their keys.
func (e *Engine) Rejoin(self fleet.Member) error {
	now := e.options.Clock.Now()
	ledger, err := once.NewLedger(once.Options{
		Home:           self,
		StartedAt:      now,
		Random:         e.options.SecretSource,
		TokenTTL:       e.tokenLife(),
		MaxRecords:     e.options.RecordLimits.MaxRecords,
		MaxBodyBytes:   e.options.RecordLimits.MaxBodyBytes,
		MaxMemoryBytes: e.options.RecordLimits.MaxMemoryBytes,
	})
	if err != nil {
		return err
	}
	before := e.ledger.Swap(ledger)
	if before != nil {
		before.End(now)
		e.archives.Store(before.Home(), before.Archive())
	}
	return nil
}

// StopProtected ends the starting of protected requests for good and returns the
// records for a successor.
func (e *Engine) StopProtected() *once.Ledger {
	ledger := e.ledger.Load()
	ledger.End(e.options.Clock.Now())
	return ledger
}

// SetStopping marks the planned stop, in which callers are told to move.
func (e *Engine) SetStopping() { e.stopping.Store(true) }

// ImportRecords takes records that another instance hands over. It reports false if
// this instance answers for too many records already.
func (e *Engine) ImportRecords(handover once.Handover) bool {
	count, memory := e.imported()
	for _, record := range handover.Records {
		memory += int64(len(record.Response.Body))
	}
	if count+len(handover.Records) > e.options.RecordLimits.MaxRecords || memory > e.options.RecordLimits.MaxMemoryBytes {
		return false
	}
	found, _ := e.archives.LoadOrStore(handover.Home, once.NewArchive(handover.Home))
	found.(*once.Archive).Import(e.options.Clock.Now(), handover)
	return true
}

// Sweep drops expired records in bounded steps, and what is no longer known of
// the loads of owners.
func (e *Engine) Sweep(limit int) {
	now := e.options.Clock.Now()
	e.loads.sweep(now)
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

// Mint issues a token whose home is this incarnation.
func (e *Engine) Mint(service fleet.ServiceName) (once.Token, error) {
	return e.ledger.Load().Mint(e.options.Clock.Now(), service)
}

func (e *Engine) tokenLife() time.Duration {
	life := e.options.Control.View().Config.Document().Limits.TokenTTL
	if life <= 0 {
		return defaultTokenLife
	}
	return life
}

package memory

import "sync/atomic"

// Budget bounds a sum of bytes. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Take adds bytes and reports whether they fit. If they do not, nothing is added.
func (b *Budget) Take(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// GiveBack subtracts bytes that were taken.
func (b *Budget) GiveBack(bytes int) { b.used.Add(-int64(bytes)) }

// Used returns the sum of the bytes that are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

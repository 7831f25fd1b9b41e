// Package once decides which protected request an instance may start.
//
// A token names one incarnation of one instance, its home, and only the home's
// Ledger lets a request start, at most once for each token and key. Duplicates
// wait for the first arrival and then get its recorded result. All times are
// measured on the home's own monotonic clock, so wall clocks do not matter.
//
// A ledger that has ended, because its incarnation was fenced or stops, starts
// nothing more. Its records are then read through an Archive, at the same
// instance or at the successor that imported them.
//
// Ledger and Archive are traffic state: their records are sharded, and each
// shard has its own mutex, held for short steps only.
package once

// Package once ensures that each protected request runs at most once.
//
// A token names one incarnation of one instance, its home. Only the Ledger of
// the home starts requests with that token, and at most one for each key.
// Duplicates wait for the first arrival and then get its recorded response.
// Token expiry is measured on the home's monotonic clock, so differences between
// the wall clocks of instances have no effect.
//
// A ledger ends when its incarnation is fenced or stops; it then starts no more
// requests. Its records are read through an Archive, at the same instance or at
// the successor that imported them.
//
// Ledger and Archive are used by traffic goroutines: their records are sharded,
// and the mutex of a shard is held for short steps only.
package once

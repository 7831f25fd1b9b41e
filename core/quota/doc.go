// Package quota limits the requests of each customer over all instances.
//
// Every instance counts what it admits in a sliding window and reports it to the other
// instances that admit requests. It admits a request if its own use and the known use of
// the others stay within the limit, and if its use that the others do not know yet stays
// within its part of what is left. An instance that loses contact keeps to a share that
// the others reserve for it, and later to a small allowance. There is no coordinator and
// nothing is stored.
//
// Traffic goroutines call Limiter.Admit and Limiter.Return; one control goroutine calls
// all other commands.
package quota

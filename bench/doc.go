// Package bench sends an open-loop load to a fleet and reports what came back.
//
// Requests start by a schedule and not when earlier ones end, and each latency
// counts from the scheduled time. A stall therefore shows in the latencies of
// all requests that were due during it.
//
// Each request carries a caller id of its own. An answer of the stand-in
// server is checked whole: the caller id, the length and the digest of the
// body. Each protected key is recorded with what its caller was told, and
// Report.Verify compares that with what the servers ran.
//
// One goroutine owns the counts; the goroutines that send only report to it.
package bench

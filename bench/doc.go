// Package bench sends an open-loop load to a fleet and reports the outcomes and
// latencies.
//
// Requests start on a schedule, independent of the end of earlier requests, and
// each latency counts from the scheduled start. A stall therefore shows in the
// latencies of all requests that were scheduled during it.
//
// Each request carries a unique caller id. The caller id, the length and the
// digest of each response of the stand-in server are checked. The result that
// the caller of a protected request received is recorded under the request's
// key, and Report.Verify compares these results with the requests that the
// servers ran.
//
// One goroutine owns the counts. The sending goroutines pass it completed
// requests over a channel.
package bench

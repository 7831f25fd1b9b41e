// Package health detects failing servers of one service from real requests,
// and decides on their ejection and reinstatement.
//
// Model: traffic goroutines record each attempt in the Counters of its server.
// The control goroutine owns a State for each service of which it owns
// servers. Every 50 ms it calls Observe with a Snapshot for each server,
// carries out the Effects, and publishes a View. Evidence is a stall (requests
// in flight that are overdue while none succeeds), a share of failures among
// the latest attempts in a window of 3 s, in which overdue requests count
// before they end, or a median latency far above that of other servers. The
// stall threshold follows the latencies seen here, within bounds. The
// preference of the service selects all thresholds.
//
// Conditions: a healthy server with evidence against it becomes suspect and
// asks for a permit; with the permit it is ejected, and without one it stays
// in use with the lowest preference. When its ejection time is over, it is on
// trial: several successes in a row reinstate it, and one failure ejects it
// again for twice the time. Relapses are forgotten one by one over minutes. A
// server that refuses connections is dead, which needs no permit; it is probed
// with growing pauses and takes work again when it accepts a connection. A
// draining server takes no new work. If the owner's own probe fails while a
// peer's succeeds, the path is broken and the owner releases the server.
//
// Guarantees: a server is in condition Ejected or Trial only between Granted
// and the next Denied or Expired for it. The last server that takes work is
// never suspected. Attempts that the caller cancelled, timeouts of callers
// whose deadline was far below the usual latency, and what a pause of this
// process delayed are no evidence. A successful probe clears no server that
// stalled, failed or was slow. Observe does not depend on wall clocks.
//
// Not promised: a server without requests is not judged. While ticks are more
// than 250 ms apart, which looks like a pause of this process, only refused
// connections are evidence. Careful detection
// does not judge latency without other servers to compare with. A server that
// restarts unnoticed and answers slowly for longer than the detection holds
// back looks slow. A service whose requests take longer than its stall
// threshold, but so rarely that they are not in the 99th percentile, may see
// false ejections, more so with Fast. Fast detection accepts some false
// ejections when pauses and cold starts meet.
package health

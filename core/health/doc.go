// Package health detects failing servers of one service from the results of
// real requests, and decides on their ejection and reinstatement.
//
// Model: traffic goroutines record each attempt in the Counters of its server.
// The control goroutine has a Detector for each service of which it owns
// servers. Every 50 ms it calls Observe with a Snapshot for each server,
// carries out the Effects, and publishes a View. Evidence against a server is a
// stall (requests in flight are overdue while none succeeds), a large share of
// failures among the latest attempts in a window of 3 s, in which overdue
// requests count before they end, or a median latency far above the median
// latency of other servers. The stall threshold is derived from the latencies
// that this instance has observed, within bounds. The preference of the service
// selects all thresholds.
//
// Conditions: a healthy server with evidence against it becomes suspect, and
// the owner requests a permit for its ejection. With the permit the server is
// ejected; without one it stays in use with the lowest preference. After the
// ejection time it is on trial: several consecutive successes reinstate it, and
// one failure ejects it again for twice the time. Relapses decay one by one
// over minutes. A server that refuses connections is dead, which needs no
// permit; it is probed with exponential backoff and accepts requests again once
// it accepts a connection. A draining server gets no new requests. If the
// owner's probe fails while a peer's probe succeeds, the path from the owner is
// broken and the owner releases the ownership of the server.
//
// Guarantees: a server is in condition Ejected or Trial only between
// PermitGranted and the next PermitDenied or PermitExpired for it. The last
// server that accepts requests never becomes suspect. The following are no
// evidence: attempts that the caller canceled, timeouts of callers whose
// deadline was far below the expected latency, and failures and latencies that
// a pause of this process delayed. A successful probe clears no server that
// stalled, failed or was slow. Observe does not depend on wall clocks.
//
// Not promised: a server without requests is not evaluated. While ticks are more
// than 250 ms apart, which counts as a pause of this process, only refused
// connections are evidence. Careful detection does not evaluate latency without
// other servers to compare with. A server that restarts unnoticed and then
// responds slowly for longer than minSlowTime counts as slow. A service whose
// requests take longer than its stall threshold, but so rarely that they are not
// in the 99th percentile, may have false ejections, more so with Fast. Fast
// detection accepts some false ejections when pauses and cold starts coincide.
package health

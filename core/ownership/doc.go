// Package ownership decides which instance holds which resource: the slots of a
// server, or the stewardship of a service's floor.
//
// # Model
//
// Every instance ranks the members for each resource in the same order: first
// those of the resource's failure domain, then the others, both by rendezvous
// score. The first active member claims the resource. It asks the first three
// other candidates, joining and leaving ones included, and everyone whom they
// name as a possible holder. A member that does not hold the resource consents and promises to
// claim it only with the claimant's consent. A holder stops new work, waits
// until its requests in flight have ended, and then consents. A claim succeeds
// when all who were asked have consented; a fenced member counts as consenting
// once its work must have ended.
//
// A holder announces itself to the first three other candidates, again whenever
// these change. Members that join in front of it therefore know it, even if
// more than three join at once. A member that was never told of a holder also
// names the first candidates that were active before itself.
//
// A holder that cannot reach a server yields it to the next candidate and does
// not claim it again before a hold-off has passed.
//
// # Guarantees
//
//   - Two instances with valid leases do not hold one resource, as long as each
//     claimant asks the holder or a member that knows it. Promises and
//     announcements make this so unless more than three candidates change
//     within the settle time and the announcements are lost as well.
//   - A resource of a fenced member is claimed only after its largest deadline
//     and the disagreement of clocks have passed.
//   - After a new incarnation nothing is held.
//
// # Not promised
//
//   - A resource may have no holder for a while: during a claim, and while a
//     member that must be asked is unreachable and not fenced.
//   - The expected owner may not hold the resource yet.
//   - Candidates beyond the first few places are not in order and not complete.
//
// # Use
//
// State is not safe for concurrent use. One goroutine calls SetMembers and Tick
// about every 50 ms and hands it each message. A hold is usable only while the
// instance's lease is valid, so the caller of a query says whether it is.
package ownership

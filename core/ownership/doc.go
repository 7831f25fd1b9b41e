// Package ownership decides which instance holds which resource: the slots of a
// server, or the stewardship of a service's floor.
//
// # Model
//
// Every instance ranks the members for each resource in the same order: first the
// members in the resource's failure domain, then all others, each group by
// rendezvous score. The first active member claims the resource. It requests the
// consent of the next three candidates, joining and leaving ones included, and of
// every member that their answers list as a possible holder. A member that does
// not hold the resource consents, and from then on claims the resource only with
// the claimant's consent. A holder that receives a claim accepts no new work,
// waits until its requests in flight have ended, and then consents. A claim
// succeeds when all of these members have consented. A fenced member counts as
// consenting once the largest deadline of the resource and the maximum clock skew
// have passed, so that its work has ended.
//
// A holder announces itself to the first three other candidates, and again
// whenever these change. Members that join and rank before the holder therefore
// know it, even if more than three join at once. A member that received no
// announcement also lists the first candidates that were active before it as
// possible holders.
//
// A holder that cannot reach a server yields the server to the next candidate and
// does not claim it again before a hold-off has passed.
//
// # Guarantees
//
//   - Two instances with valid leases never hold the same resource, as long as each
//     claimant requests the consent of the holder or of a member that knows the
//     holder. The consents and announcements ensure this unless more than three
//     candidates change within the settle time and the announcements are lost as
//     well.
//   - A resource of a fenced member is claimed only after its largest deadline
//     and the maximum clock skew have passed.
//   - An instance with a new incarnation holds nothing.
//
// # Not promised
//
//   - A resource may have no holder for a while: during a claim, and while a
//     member whose consent is required is unreachable and not fenced.
//   - The expected owner may not hold the resource yet.
//   - Candidates after the first few places are neither sorted nor complete.
//
// # Use
//
// State is not safe for concurrent use. One goroutine calls SetMembers and Tick
// about every 50 ms and passes each received message to State. A held resource is
// usable only while the instance's lease is valid, so queries take the validity of
// the lease as a parameter.
package ownership

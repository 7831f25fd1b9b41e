// Package member keeps the records of the fleet's members, renews the lease of
// this instance and fences members that have failed.
//
// # Model
//
// Each instance lists up to five witnesses in its record and sends them
// heartbeats. Its lease ends LeaseDuration after the send time of the latest
// heartbeat that a majority of the witnesses acknowledged. A witness that has
// not acknowledged a member for longer than LeaseDuration may vote to fence it,
// and never acknowledges that incarnation again after its vote. The votes of a
// majority of the witnesses form a fence certificate: the status in the
// member's record becomes Fenced, and gossip spreads the record. An instance
// that receives its own record as Fenced takes a new incarnation and joins
// again. It keeps its state as a witness of other members, so it acts as a
// witness for its former incarnations until other witnesses replace them.
//
// Heartbeats and their replies carry changed records as gossip. Within one
// incarnation the status only advances and the version of the witness set only
// grows, so a merge keeps the later value of each. A digest over the records
// shows differences between two instances, and a Sync exchanges all records to
// remove them.
//
// An instance joins once it has the records of an active member, or, at the
// first start of a fleet, once it knows the instances in the platform's
// listing. With a listing it must know as many members as a majority of the
// listed instances.
//
// # Guarantees
//
//   - No lease of an incarnation is valid once a fence certificate for it
//     exists. The lease and the certificate each need a majority of one witness
//     set, so they have a witness in common, and that witness votes only when
//     its last acknowledgement is older than LeaseDuration. During a change of
//     the witness set the lease needs a majority of both sets, so a certificate
//     from either set is safe.
//   - A process that was paused finds its lease invalid by comparing the clock
//     with View.LeaseUntil; it does not depend on an event.
//   - A lease that lapsed longer ago than half of the time that records of
//     fenced members are kept is never renewed; the instance joins again.
//     Otherwise the witnesses might have dropped the record of the fencing.
//   - The number of messages per instance does not grow with the fleet.
//
// # Not promised
//
//   - Views of two instances may differ for as long as gossip takes.
//   - In a fleet of two, instances that cannot reach each other both lose their
//     leases until the network recovers or the platform's listing drops one.
//   - If a member and a majority of its witnesses fail together, the platform's
//     listing decides. A listing that drops live members that the observer
//     cannot reach either causes them to be fenced without a certificate.
//   - If the network is partitioned at the first start of the fleet, an instance
//     waits for all listed instances, or after a minute for a majority of them.
//     Joining with a majority is unsafe if other instances started from an older
//     listing and are still unreachable.
//   - While a listing has more failed than live instances, no instance joins.
//   - A member that no listing ever contained, and whose witnesses fail together
//     with it, stays in the records until a listing that is 30 s newer arrives.
//
// # Use
//
// State is not safe for concurrent use. One goroutine calls Tick about every
// 50 ms and passes each received message to a command. The time passed to a
// command must be read after the message was received; with an earlier time a
// witness could vote too soon. The goroutine executes the returned Effects and
// passes each reply or failed send back to State. View returns an immutable
// value for other goroutines.
package member

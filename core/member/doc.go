// Package member keeps the records of the fleet's members, the lease of this
// instance and the fencing of lost ones.
//
// # Model
//
// Each instance lists up to five witnesses in its record and sends them
// heartbeats. Its lease ends LeaseTime after the sending of the latest
// heartbeat that a majority of them acknowledged. A witness that has
// acknowledged nothing from a member for longer than LeaseTime may vote to
// fence it and then never acknowledges that incarnation again. Votes of a
// majority of the witnesses are a fence certificate; the record's status
// becomes Fenced and is gossiped. An instance that learns that it is fenced
// takes a new incarnation and joins again. It keeps what it knows as a witness, so
// its answers count for its former incarnations until others replace them.
//
// Records travel as news on heartbeats and their replies. For one incarnation
// the status only moves forward and the panel number only grows, so merging
// takes the later of each. A digest over the records shows differences, which
// a Sync resolves.
//
// An instance joins once it has the records of an active member, or, on a first
// start, knows the instances in the platform's listing. With a listing it must
// know as many members as a majority of the listing names.
//
// # Guarantees
//
//   - No lease of an incarnation is valid once a certificate for it exists.
//     The lease and the certificate each need a majority of one panel, so they
//     share a witness, and that witness votes only after the last heartbeat it
//     acknowledged has aged past LeaseTime. While a panel change is under way
//     the lease needs a majority of both panels, so a certificate of either
//     is sound.
//   - A process that was paused finds its lease invalid by comparing the clock
//     with View.LeaseUntil; no event has to arrive first.
//   - A lease that has lapsed for longer than half of the time that fenced
//     records are kept is never renewed; the instance joins again instead.
//     Otherwise the witnesses might have forgotten that they fenced it.
//   - Messages per instance do not grow with the fleet.
//
// # Not promised
//
//   - Views of two instances may differ for as long as gossip takes.
//   - Two instances that are cut off from each other, in a fleet of two, both
//     lose their leases until the path heals or the platform drops one.
//   - If a member and a majority of its witnesses are lost together, the
//     platform's listing decides. A listing that drops live members, whom the
//     observer cannot reach either, fences them without a certificate.
//   - A first start of the fleet while the network is partitioned waits for all
//     listed instances, or after a minute for a majority of them. Then it is not
//     safe if others started from an older listing and are still cut off.
//   - While a listing names more dead than living instances, nobody joins.
//   - A member that the listing never named, and whose witnesses are lost with
//     it, stays in the records until a listing that is 30 s newer.
//
// # Use
//
// State is not safe for concurrent use. One goroutine calls Tick about every
// 50 ms and hands each message to a command. The time passed to a command must
// be read after the message was received; an earlier time would let a witness
// vote too soon. The caller executes the returned Effects and reports each
// reply or failed send. View returns an immutable value for other goroutines.
package member

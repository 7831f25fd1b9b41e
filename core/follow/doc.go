// Package follow keeps a copy of the platform's store up to date.
//
// Model: a Follower reads a complete listing and then watches the store for changes.
// Each watch ends after a bounded time, which confirms that no change was missed. When
// the store has dropped its history, or calls failed for so long that changes may have
// been missed, the follower reads a complete listing again. It also does so when the era of
// the store rises: the store was restored from an older snapshot, and issues revisions again
// for other content. A CopyFetcher fetches the copies of peers, for instances that do not
// read the store or cannot reach it.
//
// Guarantees: each result carries the position at which it was read or requested, so that a
// Sink can discard one that is older than its copy. The changes of servers do not wait for a
// large configuration. A transfer from peers makes progress with each part that arrives,
// however slow the link, and continues with another peer when one fails.
package follow

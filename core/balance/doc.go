// Package balance chooses the server of each attempt.
//
// Model: a Pool holds the servers of one service with the attempts that are
// outstanding on each. Pick chooses a server and returns a Lease; Finish ends it
// with a Result. A server is stalled while an attempt on it takes much longer
// than usual, and is suspected after a failed or stalled attempt. Suspected
// servers get single trials, of idempotent requests where the service has any,
// until enough of them succeed.
//
// Guarantees: every choice is among the servers of the last Update. Suspected
// servers are used when no other has room, so suspicion never makes a service
// unavailable.
//
// Not promised: the pool sees only the attempts of its own instance and what
// servers report about their load.
package balance

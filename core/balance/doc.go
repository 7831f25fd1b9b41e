// Package balance chooses the server of each attempt.
//
// Model: a Pool holds the servers of one service with the attempts that are
// outstanding on each. Pick chooses a server and returns a Lease; Finish ends it
// with a Result. For each server the pool estimates the probability that it fails
// its requests. It relaxes with time, falls with successes, and rises with
// failures and with the age of what is outstanding. Pick takes the server with
// the lowest cost, which adds the risk of a late answer and the price of distance
// to that probability, and leaves out servers whose queue ends after the objective;
// without another one there is no room. Idempotent requests go where little is known and test
// servers that are suspected. While a service fails, all servers that may be
// sound get requests, so that the floor is kept.
//
// Guarantees: every choice is among the servers of the last Update. Suspected
// servers are used when no other has room, so suspicion never makes a service
// unavailable.
//
// Not promised: of the attempts of other instances the pool knows what they told,
// which is a tenth of a second old.
package balance

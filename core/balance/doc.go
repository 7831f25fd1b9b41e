// Package balance chooses the server for each attempt.
//
// Model: a Pool holds the servers of one service and the attempts that are outstanding
// on each. Pick chooses a server and returns an Attempt; Finish ends it with a Result.
// For each server the pool estimates the probability that it is failing its requests.
// The estimate relaxes over time, falls with successes, and rises with failures and
// with the age of outstanding attempts. Pick takes the server with the lowest cost:
// the failure probability plus the cost of a late response and of crossing failure
// domains. Servers whose queue would delay the response past the latency objective are
// skipped; if none remains, Pick returns NoRoom. Idempotent requests prefer servers
// without recent attempts and run the trials of suspected servers. Servers without recent
// requests get some, so that the share of servers in use stays above the floor; when a
// service fails part of its requests, all servers that may be healthy do.
//
// A server may say in a response that it leaves, or that it wants no request for a while.
//
// Guarantees: Pick returns only servers of the last Update. It does not return a server
// that said that it leaves, nor one in the pause that it asked for. Suspected servers are used
// when no other server has room, so suspicion never makes a service unavailable.
//
// Not guaranteed: the attempts of other instances are known only from their reports,
// which are about a tenth of a second old.
package balance

// Package attempt summarizes the attempts of one request and decides whether another
// one may follow.
//
// Model: an attempt on a server ends with a response and with Evidence. A History
// combines all attempts of a request. ShouldRetry decides about another attempt; if
// there is none, the caller gets Response.
//
// Guarantees: once a request may have run, no later refusal states that it did not. A
// request that is not idempotent is retried only if it did not run.
package attempt

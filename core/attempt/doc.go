// Package attempt holds what the attempts of one request showed, and what may
// follow from it.
//
// Model: an attempt on a server ends with a response and with Evidence. A Trail
// sums up all attempts of a request; Again says whether one more is right, and
// Response is what the caller gets otherwise.
//
// Guarantees: once a request may have run, no later refusal says that it has not.
// A request that is not idempotent is repeated only while it has not run.
package attempt

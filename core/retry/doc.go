// Package retry decides whether a failed attempt is made again, and limits
// how much load retries add.
//
// Model: Decide looks at the facts of one attempt that ended. If it answers
// Again, the caller takes a token with Budget.Spend and tries another server.
// A Budget belongs to one service; each first attempt earns a tenth of a
// token.
//
// Guarantees: over any time, retries are at most a tenth of the first
// attempts plus the initial allowance, and any burst of retries is at most
// the cap. An attempt of a request that is not idempotent is repeated only if
// nothing of it was written. Neither Decide nor a Budget allocates or blocks.
//
// Not promised: the budget is per instance, so the initial allowance counts
// once for each instance of a fleet. The package does not choose the server;
// the caller excludes those that were tried.
package retry

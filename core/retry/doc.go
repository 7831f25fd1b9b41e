// Package retry decides whether a failed attempt is retried, and limits the load that
// retries add.
//
// Model: Decide evaluates the facts of a finished attempt. If it returns Retry, the
// caller consumes a token with Budget.TakeToken and tries another server. A Budget
// belongs to one service; each first attempt earns a twelfth of a token. A Window
// limits repeats (retries and hedges) to a quota over a sliding window instead. It
// leaves to the more urgent repeats what they ask for.
//
// Guarantees: over any time, retries are at most a tenth of the first attempts plus
// the initial tokens, and a burst of retries is at most the maximum number of tokens.
// An attempt of a non-idempotent request is retried only if nothing of it was written.
// Neither Decide nor a Budget allocates or blocks.
//
// Not guaranteed: the budget is per instance, so the initial tokens count once for
// each instance. The package does not choose the server; the caller excludes those
// that were tried.
package retry

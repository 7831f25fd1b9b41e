// Package admission hands out the slots of the owned servers of one service.
//
// Model: traffic goroutines ask a Pool for a slot with Acquire, run one
// request on the server and slot that the Grant names, and call Release. The
// control goroutine says which servers there are and how each may be used
// (SetServers, Drain, Resume), and drops expired requests on its tick
// (Expire). All state is behind one mutex with short critical sections;
// waiting requests sleep on a channel. A Pool has no goroutines or timers.
//
// Order: each tenant has a list of protected requests, which go first, and one
// of others. Tenants are served by weighted deficit round robin with a cost of
// one for each request. Idempotent requests prefer a server on trial, as it
// would get none otherwise; other servers are chosen by the most free slots,
// and servers of last resort only if no normal one is free. The choice costs
// the same for any number of servers.
//
// Early refusal: a request that would have to wait is refused if the expected
// wait and a mean service time do not fit its deadline, or if its tenant has
// its share of the queue waiting already. The expected wait is (requests ahead
// + 1) * mean service time / slots, where the requests ahead are those that
// the round robin order serves first.
//
// Guarantees: a server never has more requests in flight than its slots, also
// while SetServers changes the list and after a server was removed and listed
// again; a slot index is never granted twice at a time; a server that drains
// or that is not listed gets no request; a server on trial gets one idempotent
// request at a time. A server returns to use as one of last resort when its
// ejection permit ends, even if the control goroutine is late. If Acquire returns an error, nothing was run. No request
// gets a slot after its deadline. The channel of Drain is closed only when no
// request is in flight on the server.
//
// Not promised: the estimate of the wait is no bound, since service times
// vary. Fairness is by number of requests and not by time in slots. If more
// than a few requests at the head of a list cannot use the free slots, because
// they exclude the server or are not idempotent, requests behind them wait for
// the next event. A request whose context does not end at its deadline is told
// of it at the next call of Expire.
package admission

// Package admission grants the slots of the owned servers of one service to
// requests and refuses requests under overload.
//
// Model: traffic goroutines acquire a slot of a Pool with Acquire, run one
// request on the server and slot of the Grant, and call Release. The control
// goroutine sets the servers and the use of each one (SetServers, Drain,
// Resume), and ends expired requests on its tick (Expire). All state is behind
// one mutex with short critical sections; waiting requests block on a channel.
// A Pool has no goroutines or timers.
//
// Order: each customer has a list of protected requests, which are served first,
// and a list of unprotected requests. Customers are served by weighted deficit
// round robin with a cost of one for each request. Idempotent requests prefer a
// server on trial, as it would get no requests otherwise; other servers are
// chosen by the most free slots, and servers of last resort only if no normal
// server has a free slot. The cost of the choice does not depend on the number
// of servers.
//
// Early refusal: a request that would have to wait is refused if the expected
// wait and the service time, with twice its mean deviation, exceed the time to
// its deadline, or if its customer has used up its share of the queue. The
// expected wait is (requests ahead + 1) * mean service time / slots, where the
// requests ahead are the waiting requests that the round robin order serves
// first.
//
// Guarantees: a server never has more requests in flight than its slots, also
// while SetServers changes the list and after a server was removed and listed
// again; a slot index is never granted twice at a time; a server that drains
// or that is not listed gets no request; a server on trial gets one idempotent
// request at a time. A server returns to use as one of last resort when its
// ejection permit ends, even if the control goroutine is late. If Acquire
// returns an error, the request did not run. No request gets a slot after its
// deadline. The channel of Drain is closed only when no request is in flight on
// the server.
//
// Not promised: the expected wait is an estimate and no bound, since service
// times vary. Fairness is by number of requests and not by time in slots. If the
// first maxLookahead requests of a list cannot use the free slots, because they
// exclude the server or are not idempotent, requests behind them wait for the
// next event. A request whose context does not end at its deadline ends at the
// next call of Expire.
package admission

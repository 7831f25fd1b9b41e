// Package server is a stand-in for one server of an upstream service. It
// takes a service time for each request, counts what it ran, and fails
// partially on demand: it stalls, slows down, answers errors, flaps, refuses
// connections or truncates bodies while its health probe stays good.
//
// What counts as run: a protected key is counted when the request gets a
// slot, before any fault applies, because a request that stalls or fails
// after that point may have had its effect. A shed request and one that came
// past its deadline did not run.
//
// The peak of concurrent requests includes those that were shed, and the peak
// of connections includes those that were closed for exceeding the limit.
package server

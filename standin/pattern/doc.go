// Package pattern plays load patterns against the real choice of servers, in virtual time
// and without a network.
//
// A Pattern describes a service: servers with slots, queues and faults in several failure
// domains, the instances that send to them, and the requests. Play runs it with a seed and
// returns what became of each request and what each server got. Each instance has its own
// balance.Pool; reports between instances arrive late and may be lost. One goroutine runs
// everything, so a seed always gives the same result.
package pattern

// Package workset decides which instances serve callers: the working set.
//
// Model: instances send each other heartbeats. In each failure domain the live
// instances have an order that every instance computes alike, from their state, the
// capacity of their machines and a rendezvous score. The first ones are active:
// callers are sent to them. The next one is the standby, and all others are idle.
// All instances keep a current copy of the store. The first instance in rank that
// can reach the store reads it for its failure domain. There is no election and no
// wait for other instances: an instance that receives no heartbeat is active by
// itself.
//
// Guarantees: the order is stable while the same instances are live. A silent
// instance is replaced after four of its heartbeat intervals.
package workset

// Package workset decides which instances serve callers.
//
// Model: instances send each other beats. In each failure domain the live
// instances have an order that all compute alike, by what the machine offers and
// a rendezvous score. The first ones are active: callers are sent to them. The
// next one stands by, and all others are idle. All keep a current copy of the
// store, read by the first in rank that the store answers. Nothing is elected and nothing must be awaited: an instance that
// hears nobody is active by itself.
//
// Guarantees: the order is stable while the same instances live. A silent
// instance is replaced after four of its beats.
package workset

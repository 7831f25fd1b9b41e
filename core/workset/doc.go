// Package workset decides which instances serve callers.
//
// Model: instances send each other beats. In each failure domain the live
// instances have an order that all compute alike, by what the machine offers and
// a rendezvous score. The first ones are active: callers are sent to them. The
// next one stands by with a current configuration. All others are idle until
// they move up. Nothing is elected and nothing must be awaited: an instance that
// hears nobody is active by itself.
//
// Guarantees: the order is stable while the same instances live. A silent
// instance is replaced after four of its beats.
package workset

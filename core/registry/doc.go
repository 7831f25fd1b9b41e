// Package registry holds the servers listed in the platform's store.
//
// Model: a State starts from a complete listing (Replace) and follows single changes
// (Put, Remove). After an outage of the store, servers that are absent from a complete
// listing are kept for a grace period (Replace with keepUntil, Expire), because their
// entries may have expired while the servers could not renew them. A restarted server
// keeps its id but is a new Incarnation.
//
// Guarantee: an entry is ignored if a newer entry or a newer removal of the same server was
// applied, in whatever order results arrive. This holds across restores of the store too,
// in which revisions are issued again: an entry of a later era replaces a removal of an
// earlier one only if it was written after that removal.
package registry

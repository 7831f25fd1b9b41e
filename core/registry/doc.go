// Package registry holds the servers listed in the platform's store.
//
// Model: a State starts from a complete listing (Replace) and follows single changes
// (Put, Remove). After an outage of the store, servers that are absent from a complete
// listing are kept for a grace period (Replace with keepUntil, Expire), because their
// entries may have expired while the servers could not renew them. A restarted server
// keeps its id but is a new Incarnation.
package registry

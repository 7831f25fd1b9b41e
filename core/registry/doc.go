// Package registry holds the servers that the platform's store lists.
//
// Model: a State starts from a complete listing (Replace) and follows single
// changes (Put, Remove). After an outage of the store, servers that a complete
// listing lacks are kept for a while, since their entries may have lapsed while
// they could not renew them (Replace with a grace, Expire). A server that
// starts again under its id is another Incarnation.
package registry

// Package listing keeps the changes between the platform's lists of processes,
// so that an instance passes on what changed and not the whole list.
//
// A Delta takes a list from one revision to a later one. History keeps the
// latest deltas; a receiver whose revision is older than all of them needs the
// whole list. Applying a delta to a list of another revision is refused, so a
// receiver never mixes lists.
package listing

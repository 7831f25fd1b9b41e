// Package listing computes and applies the changes between revisions of the platform's
// list of processes, so that an instance sends its peers the changes in place of the
// complete list.
//
// A Delta changes a list of one revision into the list of a later revision. A History
// holds the latest deltas. A receiver with a list that is older than the first of them
// needs the complete list. Apply refuses a delta that starts at another revision than the
// revision of the list, so a receiver never mixes revisions.
package listing

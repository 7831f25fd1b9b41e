// Package listing computes and applies the changes between revisions of the platform's
// list of processes, so that an instance sends its peers the changes in place of the
// complete list.
//
// A Delta changes a list of one revision into that of a later revision. A History holds
// the latest deltas. A receiver with an older revision than the first of them needs the
// complete list. Apply refuses a delta that starts at another revision than that of the
// list, so a receiver never mixes revisions.
package listing

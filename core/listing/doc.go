// Package listing computes and applies the changes between revisions of the platform's
// listing, so that an instance sends its peers the changes in place of the complete
// listing.
//
// A Delta changes a listing of one revision into the listing of a later revision. A History
// holds the latest deltas. A receiver with a list that is older than the first of them
// needs the complete list. Apply refuses a delta that starts at another revision than the
// revision of the listing, so a receiver never mixes revisions.
package listing

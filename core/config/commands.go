package config

import (
	"fmt"

	"galenaridge/core/fleet"
)

// State holds the active document. One goroutine calls its commands.
type State struct{ view *View }

// NewState returns a state without an active document.
func NewState() *State { return &State{view: newView(Document{})} }

// Decision is the result of an offer.
type Decision struct {
	Verdict Verdict
	// Reason is the error of an invalid or conflicting document: a problem.List, a
	// *DigestError or a *ConflictError. It is nil for other verdicts.
	Reason error
}

// DigestError means that a document does not match the digest it carries.
type DigestError struct{ Carried, Computed fleet.Digest }

// Error returns both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("the document carries digest %q, but its digest is %q", e.Carried, e.Computed)
}

// ConflictError means that a document with the same version but other content is
// active.
type ConflictError struct {
	Version         fleet.Version
	Active, Offered fleet.Digest
}

// Error returns the version and both digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d is in force with digest %q, but was offered with digest %q", e.Version, e.Active, e.Offered)
}

// Offer activates a document if it is valid and has a higher version than the active
// one. The caller must not modify the document afterwards.
func (s *State) Offer(d Document) Decision {
	active := s.view.document
	if d.Version < active.Version {
		return Decision{Verdict: Older}
	}
	computed := DigestOf(d)
	if d.Digest != computed {
		return Decision{Verdict: Invalid, Reason: &DigestError{Carried: d.Digest, Computed: computed}}
	}
	if d.Digest == active.Digest {
		return Decision{Verdict: Same}
	}
	if err := Validate(d); err != nil {
		return Decision{Verdict: Invalid, Reason: err}
	}
	if d.Version == active.Version {
		return Decision{
			Verdict: Conflict,
			Reason:  &ConflictError{Version: d.Version, Active: active.Digest, Offered: d.Digest},
		}
	}
	s.view = newView(d)
	return Decision{Verdict: Adopted}
}

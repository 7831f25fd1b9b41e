package config

// State holds the document in force. One goroutine gives it commands.
type State struct{ view *View }

// NewState returns a state with no document in force.
func NewState() *State { return &State{view: newView(Document{})} }

// Decision is the answer to an offered document.
type Decision struct {
	Verdict Verdict
	// Reason says why a document is invalid or in conflict; nil otherwise.
	Reason error
}

// Offer adopts a valid document with a higher version than the one in force.
// The document must not be modified later.
func (s *State) Offer(d Document) Decision { return Decision{} }

package route

import "galenaridge/core/fleet"

// State holds the active configuration. It belongs to one goroutine.
type State struct {
	table *Table
}

// NewState returns a state without a configuration.
func NewState() *State { return &State{table: newTable(Document{})} }

// Adopt activates a document if its version is higher than the active one, and
// reports whether it did. An invalid document is rejected with ErrInvalid.
func (s *State) Adopt(d Document) (bool, error) {
	if d.Version <= s.table.version {
		return false, nil
	}
	if err := Validate(d); err != nil {
		return false, err
	}
	s.table = newTable(d)
	return true, nil
}

// Version returns the active version, or zero without a configuration.
func (s *State) Version() fleet.Version { return s.table.version }

// Table returns the index of the active configuration. It is never nil.
func (s *State) Table() *Table { return s.table }

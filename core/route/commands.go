package route

import "galenaridge/core/fleet"

// State holds the configuration in force. It belongs to one goroutine.
type State struct {
	table *Table
}

// NewState returns a state without a configuration.
func NewState() *State { return &State{table: newTable(Document{})} }

// Adopt puts a document in force if its version is higher than the current one, and
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

// Version returns the version in force, or zero without a configuration.
func (s *State) Version() fleet.Version { return s.table.version }

// Table returns the index of the configuration in force. It is never nil.
func (s *State) Table() *Table { return s.table }

package questionnaire

import (
	"galenaridge/core/config"
	"galenaridge/core/fleet"
)

// Note explains one number of a generated document.
type Note struct {
	// Path names the field, such as "services[2].floor".
	Path string
	Text string
}

// Draft is a generated document and the notes on its numbers.
type Draft struct {
	Document config.Document
	Notes    []Note
}

// Validate returns a problem.List if the answers break a rule.
func Validate(a Answers) error { return nil }

// Generate returns the document that follows from the answers, with the
// version after previous. It returns a problem.List for wrong answers.
func Generate(a Answers, previous fleet.Version) (Draft, error) { return Draft{}, nil }

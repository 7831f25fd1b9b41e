package document

import (
	"errors"
	"fmt"
	"strings"
)

// Mistake is one mistake in a file.
type Mistake struct {
	File   string
	Line   int
	Column int
	// Key is the path of the key, such as "services[2].floor".
	Key string
	// Value is the wrong value as written; empty if it is missing.
	Value string
	// Expected says what a right value looks like.
	Expected string
}

// Error returns the mistake as one line.
func (m Mistake) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: got %q, expected %s", m.File, m.Line, m.Column, m.Key, m.Value, m.Expected)
}

// Mistakes lists all mistakes found in a file.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.Error()
	}
	return strings.Join(lines, "\n")
}

// AsMistakes returns the mistakes that err wraps, if any.
func AsMistakes(err error) (Mistakes, bool) {
	var mistakes Mistakes
	ok := errors.As(err, &mistakes)
	return mistakes, ok
}

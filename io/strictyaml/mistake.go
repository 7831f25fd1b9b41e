package strictyaml

import (
	"errors"
	"fmt"
	"strings"
)

// Mistake is an invalid or missing value in a file, an environment variable or a
// flag.
type Mistake struct {
	// Source is the name of the file, the environment variable or the flag.
	Source string
	// Line and Column count from 1; they are zero for variables and flags.
	Line   int
	Column int
	// Key is the path of the key, such as "services[2].floor"; empty if the
	// text is not YAML at all.
	Key string
	// Value is the invalid value as written; empty if it is missing.
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error returns the mistake as one line.
func (m Mistake) Error() string {
	var b strings.Builder
	b.WriteString(m.Source)
	if m.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", m.Line, m.Column)
	}
	b.WriteString(": ")
	if m.Key != "" {
		b.WriteString(m.Key + ": ")
	}
	if m.Value == "" {
		b.WriteString("missing or empty, ")
	} else {
		fmt.Fprintf(&b, "got %q, ", m.Value)
	}
	b.WriteString("expected " + m.Expected)
	return b.String()
}

// Mistakes lists all mistakes that were found. An empty list is not an error.
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

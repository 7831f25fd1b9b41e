package strictyaml

import (
	"errors"
	"fmt"
	"strings"
)

// Mistake is one mistake of an operator.
type Mistake struct {
	// Source is the file, or what else the value was read from.
	Source string
	// Line and Column count from 1; they are zero outside files.
	Line   int
	Column int
	// Key is the path of the key, such as "services[2].floor"; empty if the
	// text is not YAML at all.
	Key string
	// Value is the wrong value as written; empty if it is missing.
	Value string
	// Expected says what a right value looks like.
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

// Mistakes lists all mistakes found. It is an error if not empty.
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

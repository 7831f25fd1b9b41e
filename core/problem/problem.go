package problem

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one wrong field.
type Problem struct {
	// Path names the field, such as "services[2].floor".
	Path string
	// Value is the wrong value as written; empty if it is missing.
	Value string
	// Expected says what a right value looks like.
	Expected string
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: got %q, expected %s", p.Path, p.Value, p.Expected)
}

// List is all problems that a validation found. It is an error if not empty.
type List []Problem

// Error returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// FromError returns the problems that err wraps, if any.
func FromError(err error) (List, bool) {
	var list List
	ok := errors.As(err, &list)
	return list, ok
}

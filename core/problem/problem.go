package problem

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is a field with an invalid value.
type Problem struct {
	// Path names the field, such as "services[2].floor".
	Path string
	// Value is the invalid value as written; empty if it is missing.
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: got %q, expected %s", p.Path, p.Value, p.Expected)
}

// List holds all problems that a validation found. An empty list is not an error, so a
// validation without problems returns nil.
type List []Problem

// Error returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// FromError returns the problems that err wraps, or false if it wraps none.
func FromError(err error) (List, bool) {
	var list List
	ok := errors.As(err, &list)
	return list, ok
}

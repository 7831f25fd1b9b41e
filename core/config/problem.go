package config

import (
	"errors"
	"strings"
)

// Problem is one mistake in a document, in answers or in settings.
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
	return p.Path + ": got " + `"` + p.Value + `", expected ` + p.Expected
}

// Problems lists all mistakes that a validation found.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// AsProblems returns the problems that err wraps, if any.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}

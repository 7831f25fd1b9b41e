// Package problem holds mistakes that validation finds in documents, answers
// and settings, so that all of them name the field, the value and what was
// expected in the same way.
package problem

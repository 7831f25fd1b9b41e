// Package problem defines the mistakes that validation finds in documents, answers and
// settings. All of them report the field, the value and the expected value in the same
// way.
package problem

// Package jsontime encodes durations in JSON as text such as "4.5ms".
package jsontime

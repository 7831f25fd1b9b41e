// Package once decides which protected request an instance may start. The
// home of a token starts each key at most once, answers duplicates from its
// records, and hands its records to a successor when it stops.
package once

// Package memory bounds the bytes of all messages in progress.
package memory

// Package retry decides whether a failed attempt is made again, and limits
// how much load retries add.
package retry

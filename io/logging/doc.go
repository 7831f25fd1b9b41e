// Package logging writes the operational log as JSON lines and suppresses repeated
// log lines about the same failure.
package logging

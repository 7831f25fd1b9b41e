package retry

//go:generate ../../.tools/enumer -type=Decision -transform=kebab -linecomment -text -yaml=false -output=enums_enumer.go

// Decision is the result of Decide: retry, or the reason not to.
type Decision uint8

const (
	// Retry means that another server may be tried if the budget has a token.
	Retry Decision = iota // again
	// Answered means that the attempt returned a response for the caller.
	Answered
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// TooManyAttempts means that the largest number of attempts is reached.
	TooManyAttempts
	// TooLate means that the time left is too short for another attempt.
	TooLate
)

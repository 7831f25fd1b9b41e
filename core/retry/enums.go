package retry

//go:generate ../../.tools/enumer -type=Decision -transform=kebab -linecomment -text -yaml=false -output=enums_enumer.go

// Decision says whether to try again, and if not, why not.
type Decision uint8

const (
	// Retry means that another attempt on another server is right, if the
	// budget has a token.
	Retry Decision = iota // again
	// Answered means that the attempt gave an answer to pass on.
	Answered
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// TooManyAttempts means that the limit of attempts is reached.
	TooManyAttempts
	// TooLate means that the time left does not suffice for another attempt.
	TooLate
)

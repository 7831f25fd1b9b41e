package once

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -output=enums_enumer.go

// Verdict is how one arrival of a protected request is processed.
type Verdict uint8

const (
	// Refuse returns the response of the decision without starting the request.
	Refuse Verdict = iota
	// Start lets only this arrival run the request, which must finish its ticket.
	Start
	// Replay returns the stored response of an earlier arrival.
	Replay
	// Wait means that an earlier arrival is still running.
	Wait
)

package once

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -output=enums_enumer.go

// Verdict is what to do with one arrival of a protected request.
type Verdict uint8

const (
	// Refuse answers with the decision's response; nothing is started.
	Refuse Verdict = iota
	// Start lets this arrival alone start the request and finish its ticket.
	Start
	// Replay answers with the stored response of an earlier arrival.
	Replay
	// Wait means that an earlier arrival is running.
	Wait
)

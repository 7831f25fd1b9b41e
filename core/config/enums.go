package config

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -text -output=enums_enumer.go

// Verdict is the outcome of an offer.
type Verdict uint8

const (
	// Invalid means that the document breaks a rule or carries a digest of other
	// content.
	Invalid Verdict = iota
	// Adopted means that the document is now active.
	Adopted
	// Older means that a document with a higher version is active.
	Older
	// Same means that the document is already active.
	Same
	// Conflict means that another document with the same version is active.
	Conflict
)

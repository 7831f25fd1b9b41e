package config

//go:generate ../../.tools/enumer -type=Verdict -transform=kebab -text -output=enums_enumer.go

// Verdict is what a state decided about an offered document.
type Verdict uint8

const (
	// Invalid means that the document breaks a rule or its digest is wrong.
	Invalid Verdict = iota
	// Adopted means that the document is now in force.
	Adopted
	// Older means that a higher version is in force.
	Older
	// Same means that the document is in force already.
	Same
	// Conflict means that another document of the same version is in force.
	Conflict
)

package setting

//go:generate ../../.tools/enumer -type=Level -transform=kebab -text -output=level_enumer.go

// Level is the severity of a log line.
type Level uint8

const (
	// Debug also logs details for developers.
	Debug Level = iota
	// Info logs what operators normally read.
	Info
	// Warn logs only events that may need attention.
	Warn
	// Error logs only failures.
	Error
)

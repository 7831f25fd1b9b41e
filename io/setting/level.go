package setting

//go:generate ../../.tools/enumer -type=Level -transform=kebab -text -output=level_enumer.go

// Level is the severity of a log line.
type Level uint8

const (
	// Info logs what operators normally read.
	Info Level = iota
	// Debug logs details for developers as well.
	Debug
	// Warn logs only what may need attention.
	Warn
	// Error logs only failures.
	Error
)

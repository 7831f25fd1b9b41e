package logline

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"galenaridge/core/fleet"
)

// Messages in the log lines of instances.
const (
	ConfigAdopted    = "configuration in force"
	OwnershipChanged = "ownership changed"
	ConditionChanged = "server condition changed"
)

// maxLineBytes is the maximum length of a line. A line about acquired servers may
// list hundreds of them.
const maxLineBytes = 1 << 20

// Line holds the fields of a log line that measurements and experiments use.
type Line struct {
	Time          time.Time        `json:"time"`
	Message       string           `json:"msg"`
	ConfigVersion fleet.Version    `json:"version"`
	Acquired      []fleet.Resource `json:"acquired"`
	Server        fleet.ServerID   `json:"server"`
	Before        string           `json:"before"`
	After         string           `json:"after"`
	Reason        string           `json:"reason"`
}

// Read returns the lines of a log file with a time not before from. It skips lines
// that are not JSON, such as a line truncated when the process was killed. It
// ignores errors when opening or reading the file.
func Read(name string, from time.Time) []Line {
	file, err := os.Open(name)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l Line
		if json.Unmarshal(scanner.Bytes(), &l) == nil && !l.Time.Before(from) {
			lines = append(lines, l)
		}
	}
	return lines
}

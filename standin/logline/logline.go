package logline

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"galenaridge/core/fleet"
)

// Messages that instances log.
const (
	ConfigAdopted    = "configuration in force"
	OwnershipChanged = "ownership changed"
	ConditionChanged = "server condition changed"
)

// maxLine bounds a line in bytes; an instance may acquire hundreds of servers
// at once.
const maxLine = 1 << 20

// Line is the part of a log line that is read.
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

// Read returns the lines of a log file from a time on. Lines that are not
// JSON, such as one that a kill cut off, and a file that cannot be read are
// passed over.
func Read(name string, from time.Time) []Line {
	file, err := os.Open(name)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []Line
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var l Line
		if json.Unmarshal(scanner.Bytes(), &l) == nil && !l.Time.Before(from) {
			lines = append(lines, l)
		}
	}
	return lines
}

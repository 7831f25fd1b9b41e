package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
)

// logPoll is how often logs are read while an event is awaited; the time of
// the event is that of its log line.
const logPoll = 100 * time.Millisecond

// logLine is the part of a log line of an instance that is read.
type logLine struct {
	Time     time.Time        `json:"time"`
	Message  string           `json:"msg"`
	Version  fleet.Version    `json:"version"`
	Acquired []fleet.Resource `json:"acquired"`
}

// awaitLog reads the logs of all instances until find reports an event, and
// returns the time from the beginning to it. Only lines from the beginning on
// are given to find.
func awaitLog(
	ctx context.Context, f *harness.Fleet, began time.Time, timeout time.Duration,
	find func(map[harness.Slot][]logLine) (time.Time, bool),
) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	files := f.LogFiles()
	for {
		lines := map[harness.Slot][]logLine{}
		for _, slot := range f.Slots() {
			lines[slot] = readLog(files[string(slot)], began)
		}
		if at, ok := find(lines); ok {
			return at.Sub(began), nil
		}
		if err := wait(ctx, logPoll); err != nil {
			return 0, eris.Wrapf(err, "no event in the logs within %s", timeout)
		}
	}
}

// readLog returns the lines of a log from a time on; lines that are cut off
// are passed over.
func readLog(name string, from time.Time) []logLine {
	file, err := os.Open(name)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var l logLine
		if json.Unmarshal(scanner.Bytes(), &l) == nil && !l.Time.Before(from) {
			lines = append(lines, l)
		}
	}
	return lines
}

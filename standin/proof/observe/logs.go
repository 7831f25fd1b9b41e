package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/standin/harness"
)

// Log messages of instances that contain changes of servers. They must equal
// the texts that the instances log.
const (
	healthMessage    = "server condition changed"
	ownershipMessage = "ownership changed"
	startMessage     = "instance started"
)

// LogEvent is a line in the log of an instance that reports a change of its
// servers or a start of the instance.
type LogEvent struct {
	At   time.Time
	Slot harness.Slot
	// Server is the server whose health changed, or empty. The values of
	// HealthBefore, HealthAfter and Reason belong to it.
	Server       fleet.ServerID
	HealthBefore string
	HealthAfter  string
	Reason       string
	// Released lists the servers that the instance no longer owns.
	Released []fleet.ServerID
	// Restarted is set if a new process of the instance started.
	Restarted bool
}

// TakesOutOfUse reports whether the server gets no new requests after the
// event, because it was ejected or released by its owner.
func (e LogEvent) TakesOutOfUse(server fleet.ServerID) bool {
	return e.Server == server && e.HealthAfter == health.Ejected.String() || slices.Contains(e.Released, server)
}

// logLine holds the fields of a log line that events are read from.
type logLine struct {
	Time    time.Time        `json:"time"`
	Message string           `json:"msg"`
	Server  fleet.ServerID   `json:"server"`
	Before  string           `json:"before"`
	After   string           `json:"after"`
	Reason  string           `json:"reason"`
	Stopped []fleet.Resource `json:"stopped"`
	Lost    []fleet.Resource `json:"lost"`
}

// LogReader reads the logs of all instances while they grow. The times in the
// logs are exact, whereas samples of states are late by up to one sampling
// interval.
type LogReader struct {
	fleet   *harness.Fleet
	offsets map[harness.Slot]int64
	events  []LogEvent
}

// NewLogReader returns a reader that starts at the beginning of each log.
func NewLogReader(f *harness.Fleet) *LogReader {
	return &LogReader{fleet: f, offsets: map[harness.Slot]int64{}}
}

// ReadNew reads the lines that were logged since the last call.
func (r *LogReader) ReadNew() error {
	files := r.fleet.LogFiles()
	for _, slot := range r.fleet.Slots() {
		if err := r.readFile(slot, files[string(slot)]); err != nil {
			return err
		}
	}
	slices.SortStableFunc(r.events, func(a, b LogEvent) int { return a.At.Compare(b.At) })
	return nil
}

func (r *LogReader) readFile(slot harness.Slot, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(r.offsets[slot], io.SeekStart); err != nil {
		return err
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	// An incomplete last line is left for the next call.
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	r.offsets[slot] += int64(len(text))
	for line := range bytes.Lines(text) {
		if event, ok := parseEvent(slot, line); ok {
			r.events = append(r.events, event)
		}
	}
	return nil
}

// parseEvent decodes a log line. It returns false if the line is not an event.
func parseEvent(slot harness.Slot, text []byte) (LogEvent, bool) {
	var parsed logLine
	if json.Unmarshal(text, &parsed) != nil {
		return LogEvent{}, false
	}
	event := LogEvent{At: parsed.Time, Slot: slot}
	switch parsed.Message {
	case healthMessage:
		event.Server, event.HealthBefore, event.HealthAfter, event.Reason = parsed.Server, parsed.Before, parsed.After, parsed.Reason
	case ownershipMessage:
		for _, resource := range append(parsed.Stopped, parsed.Lost...) {
			if id, ok := strings.CutPrefix(string(resource), string(fleet.ServerResource(""))); ok {
				event.Released = append(event.Released, fleet.ServerID(id))
			}
		}
	case startMessage:
		event.Restarted = true
	default:
		return LogEvent{}, false
	}
	return event, true
}

// Events returns all events so far, in order of time.
func (r *LogReader) Events() []LogEvent { return slices.Clone(r.events) }

// FirstOutOfUse returns the first event later than the given time that takes a
// server out of use.
func (r *LogReader) FirstOutOfUse(server fleet.ServerID, after time.Time) (LogEvent, bool) {
	for _, event := range r.events {
		if event.At.After(after) && event.TakesOutOfUse(server) {
			return event, true
		}
	}
	return LogEvent{}, false
}

// Ejections returns the ejections between two times. A failed trial of an
// ejected server does not count.
func (r *LogReader) Ejections(from, to time.Time) []LogEvent {
	var ejections []LogEvent
	for _, event := range r.events {
		if event.HealthAfter == health.Ejected.String() && event.HealthBefore != health.Trial.String() && event.At.After(from) && event.At.Before(to) {
			ejections = append(ejections, event)
		}
	}
	return ejections
}

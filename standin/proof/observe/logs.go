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

// Messages of the logs of instances that proofs read.
const (
	healthMessage    = "server condition changed"
	ownershipMessage = "ownership changed"
	startMessage     = "instance started"
)

// LogEvent is one line of the log of an instance about its servers.
type LogEvent struct {
	At   time.Time
	Slot harness.Slot
	// Server is set if the condition of a server changed.
	Server       fleet.ServerID
	HealthBefore string
	HealthAfter  string
	Reason       string
	// Released lists servers that the instance gave up.
	Released []fleet.ServerID
	// Restarted is set if the process of the instance is new.
	Restarted bool
}

// TakesOutOfUse reports whether a server got no work after the change, because it was
// ejected or given up by its owner.
func (e LogEvent) TakesOutOfUse(server fleet.ServerID) bool {
	return e.Server == server && e.HealthAfter == health.Ejected.String() || slices.Contains(e.Released, server)
}

// logLine is a log line as instances write it.
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

// LogReader reads the logs of all instances as they grow. Their times are
// exact, whereas samples of states are up to one interval late.
type LogReader struct {
	fleet   *harness.Fleet
	offsets map[harness.Slot]int64
	events  []LogEvent
}

// NewLogReader returns journals of which nothing is read yet.
func NewLogReader(f *harness.Fleet) *LogReader {
	return &LogReader{fleet: f, offsets: map[harness.Slot]int64{}}
}

// ReadNew reads what was written since the last call.
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
	// A line that is being written is read next time.
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	r.offsets[slot] += int64(len(text))
	for line := range bytes.Lines(text) {
		if event, ok := parseEvent(slot, line); ok {
			r.events = append(r.events, event)
		}
	}
	return nil
}

// parseEvent returns the change that a line reports, if any.
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

// Events returns all changes that were read, in order of their times.
func (r *LogReader) Events() []LogEvent { return slices.Clone(r.events) }

// FirstOutOfUse returns when a server was first out after a time.
func (r *LogReader) FirstOutOfUse(server fleet.ServerID, after time.Time) (LogEvent, bool) {
	for _, event := range r.events {
		if event.At.After(after) && event.TakesOutOfUse(server) {
			return event, true
		}
	}
	return LogEvent{}, false
}

// Ejections returns the ejections between two times.
func (r *LogReader) Ejections(from, to time.Time) []LogEvent {
	var ejections []LogEvent
	for _, event := range r.events {
		if event.HealthAfter == health.Ejected.String() && event.HealthBefore != health.Trial.String() && event.At.After(from) && event.At.Before(to) {
			ejections = append(ejections, event)
		}
	}
	return ejections
}

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
	conditionMessage = "server condition changed"
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
func (c LogEvent) TakesOutOfUse(server fleet.ServerID) bool {
	return c.Server == server && c.HealthAfter == health.Ejected.String() || slices.Contains(c.Released, server)
}

// line is a log line as instances write it.
type line struct {
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
	all     []LogEvent
}

// NewLogReader returns journals of which nothing is read yet.
func NewLogReader(f *harness.Fleet) *LogReader {
	return &LogReader{fleet: f, offsets: map[harness.Slot]int64{}}
}

// ReadNew reads what was written since the last call.
func (j *LogReader) ReadNew() error {
	files := j.fleet.LogFiles()
	for _, slot := range j.fleet.Slots() {
		if err := j.readOne(slot, files[string(slot)]); err != nil {
			return err
		}
	}
	slices.SortStableFunc(j.all, func(a, b LogEvent) int { return a.At.Compare(b.At) })
	return nil
}

func (j *LogReader) readOne(slot harness.Slot, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(j.offsets[slot], io.SeekStart); err != nil {
		return err
	}
	text, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	// A line that is being written is read next time.
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	j.offsets[slot] += int64(len(text))
	for one := range bytes.Lines(text) {
		if found, ok := parse(slot, one); ok {
			j.all = append(j.all, found)
		}
	}
	return nil
}

// parse returns the change that a line reports, if any.
func parse(slot harness.Slot, text []byte) (LogEvent, bool) {
	var l line
	if json.Unmarshal(text, &l) != nil {
		return LogEvent{}, false
	}
	c := LogEvent{At: l.Time, Slot: slot}
	switch l.Message {
	case conditionMessage:
		c.Server, c.HealthBefore, c.HealthAfter, c.Reason = l.Server, l.Before, l.After, l.Reason
	case ownershipMessage:
		for _, resource := range append(l.Stopped, l.Lost...) {
			if id, ok := strings.CutPrefix(string(resource), string(fleet.ServerResource(""))); ok {
				c.Released = append(c.Released, fleet.ServerID(id))
			}
		}
	case startMessage:
		c.Restarted = true
	default:
		return LogEvent{}, false
	}
	return c, true
}

// Events returns all changes that were read, in order of their times.
func (j *LogReader) Events() []LogEvent { return slices.Clone(j.all) }

// FirstOutOfUse returns when a server was first out after a time.
func (j *LogReader) FirstOutOfUse(server fleet.ServerID, after time.Time) (LogEvent, bool) {
	for _, c := range j.all {
		if c.At.After(after) && c.TakesOutOfUse(server) {
			return c, true
		}
	}
	return LogEvent{}, false
}

// Ejections returns the ejections between two times.
func (j *LogReader) Ejections(from, to time.Time) []LogEvent {
	var found []LogEvent
	for _, c := range j.all {
		if c.HealthAfter == health.Ejected.String() && c.HealthBefore != health.Trial.String() && c.At.After(from) && c.At.Before(to) {
			found = append(found, c)
		}
	}
	return found
}

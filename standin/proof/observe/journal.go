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

// Change is one line of the log of an instance about its servers.
type Change struct {
	At   time.Time
	Slot harness.Slot
	// Server is set if the condition of a server changed.
	Server fleet.ServerID
	Before string
	After  string
	Reason string
	// Gone lists servers that the instance gave up.
	Gone []fleet.ServerID
	// Restarted is set if the process of the instance is new.
	Restarted bool
}

// Out reports whether a server got no work after the change, because it was
// ejected or given up by its owner.
func (c Change) Out(server fleet.ServerID) bool {
	return c.Server == server && c.After == health.Ejected.String() || slices.Contains(c.Gone, server)
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

// Journals reads the logs of all instances as they grow. Their times are
// exact, whereas samples of states are up to one interval late.
type Journals struct {
	fleet   *harness.Fleet
	offsets map[harness.Slot]int64
	all     []Change
}

// NewJournals returns journals of which nothing is read yet.
func NewJournals(f *harness.Fleet) *Journals {
	return &Journals{fleet: f, offsets: map[harness.Slot]int64{}}
}

// Read reads what was written since the last call.
func (j *Journals) Read() error {
	files := j.fleet.LogFiles()
	for _, slot := range j.fleet.Slots() {
		if err := j.readOne(slot, files[string(slot)]); err != nil {
			return err
		}
	}
	slices.SortStableFunc(j.all, func(a, b Change) int { return a.At.Compare(b.At) })
	return nil
}

func (j *Journals) readOne(slot harness.Slot, name string) error {
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
func parse(slot harness.Slot, text []byte) (Change, bool) {
	var l line
	if json.Unmarshal(text, &l) != nil {
		return Change{}, false
	}
	c := Change{At: l.Time, Slot: slot}
	switch l.Message {
	case conditionMessage:
		c.Server, c.Before, c.After, c.Reason = l.Server, l.Before, l.After, l.Reason
	case ownershipMessage:
		for _, resource := range append(l.Stopped, l.Lost...) {
			if id, ok := strings.CutPrefix(string(resource), string(fleet.ServerResource(""))); ok {
				c.Gone = append(c.Gone, fleet.ServerID(id))
			}
		}
	case startMessage:
		c.Restarted = true
	default:
		return Change{}, false
	}
	return c, true
}

// Changes returns all changes that were read, in order of their times.
func (j *Journals) Changes() []Change { return slices.Clone(j.all) }

// FirstOut returns when a server was first out after a time.
func (j *Journals) FirstOut(server fleet.ServerID, after time.Time) (Change, bool) {
	for _, c := range j.all {
		if c.At.After(after) && c.Out(server) {
			return c, true
		}
	}
	return Change{}, false
}

// Ejections returns the ejections between two times.
func (j *Journals) Ejections(from, to time.Time) []Change {
	var found []Change
	for _, c := range j.all {
		if c.After == health.Ejected.String() && c.Before != health.Trial.String() && c.At.After(from) && c.At.Before(to) {
			found = append(found, c)
		}
	}
	return found
}

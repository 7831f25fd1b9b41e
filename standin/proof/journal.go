package proof

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

// change is one line of the log of an instance about its servers.
type change struct {
	at   time.Time
	slot harness.Slot
	// server is set if the condition of a server changed.
	server fleet.ServerID
	before string
	after  string
	reason string
	// gone lists servers that the instance gave up.
	gone []fleet.ServerID
	// restarted is set if the process of the instance is new.
	restarted bool
}

// out reports whether a server got no work after the change, because it was
// ejected or given up by its owner.
func (c change) out(server fleet.ServerID) bool {
	return c.server == server && c.after == health.Ejected.String() || slices.Contains(c.gone, server)
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

// journals reads the logs of all instances as they grow. Their times are
// exact, whereas samples of states are up to one interval late.
type journals struct {
	fleet   *harness.Fleet
	offsets map[harness.Slot]int64
	all     []change
}

func newJournals(f *harness.Fleet) *journals {
	return &journals{fleet: f, offsets: map[harness.Slot]int64{}}
}

// read reads what was written since the last call.
func (j *journals) read() error {
	files := j.fleet.LogFiles()
	for _, slot := range j.fleet.Slots() {
		if err := j.readOne(slot, files[string(slot)]); err != nil {
			return err
		}
	}
	slices.SortStableFunc(j.all, func(a, b change) int { return a.at.Compare(b.at) })
	return nil
}

func (j *journals) readOne(slot harness.Slot, name string) error {
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
func parse(slot harness.Slot, text []byte) (change, bool) {
	var l line
	if json.Unmarshal(text, &l) != nil {
		return change{}, false
	}
	c := change{at: l.Time, slot: slot}
	switch l.Message {
	case conditionMessage:
		c.server, c.before, c.after, c.reason = l.Server, l.Before, l.After, l.Reason
	case ownershipMessage:
		for _, resource := range append(l.Stopped, l.Lost...) {
			if id, ok := strings.CutPrefix(string(resource), string(fleet.ServerResource(""))); ok {
				c.gone = append(c.gone, fleet.ServerID(id))
			}
		}
	case startMessage:
		c.restarted = true
	default:
		return change{}, false
	}
	return c, true
}

// firstOut returns when a server was first out after a time.
func (j *journals) firstOut(server fleet.ServerID, after time.Time) (change, bool) {
	for _, c := range j.all {
		if c.at.After(after) && c.out(server) {
			return c, true
		}
	}
	return change{}, false
}

// ejections returns the ejections between two times.
func (j *journals) ejections(from, to time.Time) []change {
	var found []change
	for _, c := range j.all {
		if c.after == health.Ejected.String() && c.before != health.Trial.String() && c.at.After(from) && c.at.Before(to) {
			found = append(found, c)
		}
	}
	return found
}

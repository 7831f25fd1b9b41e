package decisionlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine is the largest log line in bytes that is read.
const maxLine = 1 << 20

// ReadLines returns the lines of a log. Text before the JSON object of a line, such as
// a time and a machine added by a collector, and lines without one are skipped.
func ReadLines(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		_, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var line Line
		if err := json.Unmarshal(append([]byte("{"), object...), &line); err != nil || line.Event == "" {
			continue
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrap(scanner.Err(), "reading the log")
}

// Query selects what a story tells.
type Query struct {
	// RequestID is the request.
	RequestID string
	// ExtraServer, if set, adds all that was believed of this server.
	ExtraServer string
	// Lookback is how long before the request the story begins.
	Lookback time.Duration
}

// Timeline returns the lines about a request in order of time: its end, what was
// believed of the servers it was sent to, and what changed on the instances that
// handled it. It returns none if the request is not in the log.
func Timeline(lines []Line, q Query) []Line {
	servers := map[string]bool{q.ExtraServer: q.ExtraServer != ""}
	instances := make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.Event != RequestFinished || l.ID != q.RequestID {
			continue
		}
		began := l.Time.Add(-time.Duration(l.DurationMS) * time.Millisecond)
		if first.IsZero() || began.Before(first) {
			first = began
		}
		if l.Time.After(last) {
			last = l.Time
		}
		instances[l.Instance] = true
		for _, a := range l.Attempts {
			servers[a.Server] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	var story []Line
	for _, l := range lines {
		if l.Time.Before(first.Add(-q.Lookback)) || l.Time.After(last.Add(after)) {
			continue
		}
		if l.Event == RequestFinished && l.ID == q.RequestID || l.Event != RequestFinished && concerns(l, servers, instances) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// after is how long after its end a story goes on; a suspicion is logged when its
// last attempt ends.
const after = 100 * time.Millisecond

// concerns reports whether a line that is not about a request belongs to a story.
func concerns(l Line, servers, instances map[string]bool) bool {
	if l.Server != "" {
		return servers[l.Server]
	}
	return instances[l.Instance] && l.Event != PeerJoined
}

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

// maxLineBytes is the size of the largest log line that is read.
const maxLineBytes = 1 << 20

// ReadLines returns the decision lines of a log. It skips text before the JSON
// object of a line, such as a time and host name added by a log collector, and all
// other lines.
func ReadLines(in io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// Query selects the lines of a timeline.
type Query struct {
	// RequestID is the id of the request.
	RequestID string
	// ExtraServer, if set, adds the events of this server.
	ExtraServer string
	// Lookback is the time before the start of the request from which on lines are
	// included.
	Lookback time.Duration
}

// Timeline returns the lines related to a request in order of time: its result, the
// events of the servers that it was sent to, and the changes on the instances that
// handled it. It returns nil if the request is not in the log.
func Timeline(lines []Line, query Query) []Line {
	servers := map[string]bool{query.ExtraServer: query.ExtraServer != ""}
	instances := make(map[string]bool)
	var start, end time.Time
	for _, l := range lines {
		if l.Event != RequestFinished || l.ID != query.RequestID {
			continue
		}
		requestStart := l.Time.Add(-time.Duration(l.DurationMS) * time.Millisecond)
		if start.IsZero() || requestStart.Before(start) {
			start = requestStart
		}
		if l.Time.After(end) {
			end = l.Time
		}
		instances[l.Instance] = true
		for _, a := range l.Attempts {
			servers[a.Server] = true
		}
	}
	if start.IsZero() {
		return nil
	}
	var timeline []Line
	for _, l := range lines {
		if l.Time.Before(start.Add(-query.Lookback)) || l.Time.After(end.Add(trailingPeriod)) {
			continue
		}
		if l.Event == RequestFinished && l.ID == query.RequestID || l.Event != RequestFinished && isRelevant(l, servers, instances) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// trailingPeriod is the time after the end of the request up to which lines are
// included: a suspicion is logged only when the last attempt that led to it ends.
const trailingPeriod = 100 * time.Millisecond

// isRelevant reports whether an event other than RequestFinished belongs to the
// timeline of a request that involved the given servers and instances.
func isRelevant(l Line, servers, instances map[string]bool) bool {
	if l.Server != "" {
		return servers[l.Server]
	}
	return instances[l.Instance] && l.Event != PeerJoined
}

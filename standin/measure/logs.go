package measure

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/standin/harness"
	"galenaridge/standin/logline"
	"galenaridge/standin/pause"
)

// logPollInterval is how often logs are read while an event is awaited; the time of
// the event is that of its log line.
const logPollInterval = 100 * time.Millisecond

// waitForLogEvent reads the logs of all instances until find reports an event, and
// returns the time from the beginning to it. Only lines from the beginning on
// are given to find.
func waitForLogEvent(
	ctx context.Context, f *harness.Fleet, start time.Time, timeout time.Duration,
	find func(map[harness.Slot][]logline.Line) (time.Time, bool),
) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	files := f.LogFiles()
	for {
		lines := map[harness.Slot][]logline.Line{}
		for _, slot := range f.Slots() {
			lines[slot] = logline.Read(files[string(slot)], start)
		}
		if at, ok := find(lines); ok {
			return at.Sub(start), nil
		}
		if err := pause.For(ctx, logPollInterval); err != nil {
			return 0, eris.Wrapf(err, "no event in the logs within %s", timeout)
		}
	}
}

package measure

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/standin/harness"
	"galenaridge/standin/logline"
	"galenaridge/standin/pause"
)

// logPollInterval is the interval between two reads of the logs. It does not
// limit the precision of a measurement, which uses the times of the log lines.
const logPollInterval = 100 * time.Millisecond

// waitForLogEvent reads the logs of all instances until find returns the time
// of an event, and returns the duration from start to the event. The lines that
// find receives are not older than start. It fails after the timeout.
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
			return 0, eris.Wrapf(err, "expected event not logged within %s", timeout)
		}
	}
}

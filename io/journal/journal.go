package journal

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

// New returns a logger that writes JSON lines.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// Once logs a run of the same failure once, and its end once. Its methods may
// be called concurrently.
type Once struct {
	log   logrus.FieldLogger
	clock fleet.Clock
	what  string

	mu       sync.Mutex
	message  string
	since    time.Time
	repeated int
}

// NewOnce returns a log of the failures of one activity.
func NewOnce(log logrus.FieldLogger, clock fleet.Clock, what string) *Once {
	return &Once{log: log, clock: clock, what: what}
}

// Failed logs the failure unless it is the same as the one before. A run of
// failures goes on while their messages differ.
func (o *Once) Failed(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	message := err.Error()
	if o.since.IsZero() {
		o.since = o.clock.Now()
	}
	o.repeated++
	if message == o.message {
		return
	}
	o.message = message
	o.log.WithField("error", message).Warn(o.what + " failed")
}

// Succeeded logs the end of a run of failures, if there was one.
func (o *Once) Succeeded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return
	}
	o.log.WithField("failures", o.repeated).
		WithField("seconds", o.clock.Now().Sub(o.since).Seconds()).
		Info(o.what + " works again")
	o.message = ""
	o.since = time.Time{}
	o.repeated = 0
}

// FailingSince returns when the present run of failures began, and false if
// there is none.
func (o *Once) FailingSince() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, !o.since.IsZero()
}

// Forget ends a run of failures without a log line, as when the activity is
// switched off.
func (o *Once) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.message = ""
	o.since = time.Time{}
	o.repeated = 0
}
